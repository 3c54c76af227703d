"""What a gateway has to know of the callers' and back ends' protocol."""

import abc
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """Part of a prompt that engines may have in their cache."""

    id: str
    n_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestHead:
    """Head of a caller's request.

    Attributes
    ----------
    id : str
        Of this very attempt of the caller; replies carry it again.
    host : str
        Without a port.
    path : str
        Without the query; selects the route.
    target : bytes
        Path and query as they came.
    access_key : str
        Empty where there is none.
    caller_timeout_ms : float or None
        How long the caller will wait.
    last_event : str
        Id of the last event that the caller has of the stream.
    parts : tuple of PromptPart
    n_pieces : tuple of int
        Pieces of each stage.
    stage_key : str
        What the first stages make their pieces from.
    headers : tuple of (bytes, bytes)
        Those that are passed on.
    """

    id: str
    method: bytes
    host: str
    path: str
    target: bytes
    access_key: str
    caller_timeout_ms: float | None
    last_event: str
    parts: tuple
    n_pieces: tuple
    stage_key: str
    headers: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """What a gateway adds to one attempt at a back end.

    Attributes
    ----------
    remaining_ms : float
    incarnation : str
        Of the server that is meant.
    organisation : str
        Empty for requests without a key.
    priority : int
        0 is the most urgent.
    inputs : tuple of str
        Handles of the stages' results.
    last_event : str
        Where a stream goes on.
    n_body_bytes : int
    streams : bool
        Whether events are expected.
    """

    remaining_ms: float
    incarnation: str
    organisation: str
    priority: int
    inputs: tuple
    last_event: str
    n_body_bytes: int
    streams: bool


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyHead:
    """Head of a back end's reply.

    Attributes
    ----------
    genuine : bool
        Whether the reply is the server's own to this request.
    not_run : bool
        Whether the server says that it did not run the request.
    inputs_gone : bool
        Whether results of the stages are no longer there.
    load : tuple of int or None
        Requests running, requests waiting, requests that run at once.
    headers : tuple of (bytes, bytes)
        Those that are passed on to the caller.
    """

    status: int
    genuine: bool
    not_run: bool
    inputs_gone: bool
    load: tuple | None
    headers: tuple

    @property
    def good(self):
        """Return whether the request succeeded."""
        return 200 <= self.status < 300


class Protocol(abc.ABC):
    """Reads and writes the heads of requests and replies."""

    @abc.abstractmethod
    def read_request(self, scope):
        """Return the ``RequestHead`` of an ASGI scope.

        Raises
        ------
        errors.InvalidRequest
        """

    @abc.abstractmethod
    def request_headers(self, head, attempt):
        """Return the headers of an attempt as a list of (bytes, bytes)."""

    @abc.abstractmethod
    def read_reply(self, status, headers, head):
        """Return the ``ReplyHead`` of a reply to a request."""

    @abc.abstractmethod
    def refusal_headers(self, error, head):
        """Return the headers of an answer that is this host's own.

        Parameters
        ----------
        error : errors.Error
        head : RequestHead or None
        """
