"""Interface between a gateway and the protocol of its callers and back ends."""

import abc
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """Part of a prompt that engines may hold in their cache.

    Attributes
    ----------
    id : str
        Prompts that share the part carry the same id.
    n_tokens : int
    """

    id: str
    n_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestHead:
    """Head of a caller's request: its method, target and headers.

    Attributes
    ----------
    id : str
        Request id chosen by the caller, one per attempt; replies repeat it.
    host : str
        Without a port.
    path : str
        Without the query; selects the route.
    target : bytes
        Path and query as received.
    access_key : str
        Empty if the request has none.
    caller_timeout_ms : float or None
        How long the caller waits; None if the request does not say.
    last_event : str
        Id of the last event of the stream that the caller received; empty for none.
    resumed : str
        Id of the caller's attempt that brought the first event of the stream that the
        request resumes; empty if it names none.
    prompt_parts : tuple of PromptPart
        Parts that the prompt begins with, in order. Of a long prompt, many of them are
        joined into one.
    joined_parts : str
        Ids of the parts that are joined, with commas between them; of all parts if the
        request states one of them wrongly, so that ``prompt_parts`` has none.
    n_pieces : tuple of int
        Number of pieces for each stage.
    stage_key : str
        Identifies the input from which the first stages make their pieces.
    headers : tuple of (bytes, bytes)
        Headers to pass on to the back end.
    received : tuple of (bytes, bytes)
        Headers to pass on to another entry host.
    """

    id: str
    method: bytes
    host: str
    path: str
    target: bytes
    access_key: str
    caller_timeout_ms: float | None
    last_event: str
    resumed: str
    prompt_parts: tuple
    n_pieces: tuple
    stage_key: str
    headers: tuple
    received: tuple = ()
    joined_parts: str = ""

    def part_ids(self):
        """Return the ids of all prompt parts, each once."""
        joined = filter(None, self.joined_parts.split(","))
        return dict.fromkeys([*(part.id for part in self.prompt_parts), *joined])

    def shared_parts(self):
        """Return the ids of the prompt parts that other requests may share.

        The last part belongs to the request or its session alone.
        """
        return [part.id for part in self.prompt_parts[:-1]]


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """What a gateway tells a back end about one attempt.

    Attributes
    ----------
    remaining_ms : float
        Time left until the request's deadline.
    incarnation : str
        Incarnation of the server that the attempt is meant for.
    organisation : str
        Empty for requests without an access key.
    priority : int
        0 is the most urgent.
    inputs : tuple of str
        Handles of the stages' results.
    last_event : str
        Id of the event after which to resume a stream; empty to start it.
    n_body_bytes : int
    streams : bool
        Whether the reply is an event stream.
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
class HandedOver:
    """What changes in a request that another entry host takes over.

    Attributes
    ----------
    remaining_ms : float
        Time left until the request's deadline.
    last_event : str
        Id of the last event of its stream that the caller has; empty for none.
    resumed : str
        Id of the caller's attempt that brought the stream's first event; empty if there
        is none.
    n_body_bytes : int
    """

    remaining_ms: float
    last_event: str
    resumed: str
    n_body_bytes: int


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """What a server says about itself in a reply.

    Attributes
    ----------
    leaving : bool
        Whether the server is about to stop and wants no new calls.
    rest_ms : float
        Time for which the server wants no calls from this host.
    limit_per_s : float or None
        Requests a second that the server takes from all hosts together; None if it
        names no limit, NaN if what it names can't be read.
    max_rejected : int or None
        Requests that the server may turn away in a second without crashing; None
        if it does not say that it is brittle.
    """

    leaving: bool = False
    rest_ms: float = 0.0
    limit_per_s: float | None = None
    max_rejected: int | None = None


NO_NOTICE = Notice()


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Load of a server, as it states it in a reply.

    Attributes
    ----------
    n_running : int
        Requests that run.
    n_waiting : int
        Requests that wait for one of these to end.
    n_places : int
        Requests that can run at once.
    slowness : float or None
        How long work takes on its machine at this moment, 1 for as usual; None if it
        does not say so or it can't be read.
    """

    n_running: int
    n_waiting: int
    n_places: int
    slowness: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyHead:
    """Head of a back end's reply.

    Attributes
    ----------
    genuine : bool
        Whether the reply comes from the server itself and belongs to this request.
    not_run : bool
        Whether the server says that it did not run the request.
    inputs_gone : bool
        Whether the server reports that stage results no longer exist.
    load : Load or None
    headers : tuple of (bytes, bytes)
        Headers to pass on to the caller.
    notice : Notice
    misdirected : bool
        Whether another process than the one that the request was meant for replied.
    """

    status: int
    genuine: bool
    not_run: bool
    inputs_gone: bool
    load: Load | None
    headers: tuple
    notice: Notice = NO_NOTICE
    misdirected: bool = False

    @property
    def succeeded(self):
        """Return whether the status is 2xx."""
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
        """Return the headers of an attempt as a list of (bytes, bytes).

        Parameters
        ----------
        head : RequestHead
        attempt : Attempt
        """

    @abc.abstractmethod
    def handover_headers(self, head, handed):
        """Return the headers of a request for another entry host.

        Parameters
        ----------
        head : RequestHead
        handed : HandedOver

        Returns
        -------
        list of (bytes, bytes)
        """

    @abc.abstractmethod
    def read_reply(self, status, headers, head):
        """Return the ``ReplyHead`` of a back end's reply.

        Parameters
        ----------
        status : int
        headers : iterable of (bytes, bytes)
        head : RequestHead
            Head of the request that was sent.
        """

    @abc.abstractmethod
    def refusal_headers(self, error, head):
        """Return the headers of an error reply that this host itself sends.

        Parameters
        ----------
        error : errors.Error
        head : RequestHead or None
            None if the request could not be read.
        """
