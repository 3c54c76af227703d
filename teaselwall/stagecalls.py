"""Calls to the servers of stage pools, each with pieces of several requests."""

import abc
import dataclasses
import enum


class Refusal(enum.Enum):
    """Why a server gave no result for a piece."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """One piece of work in a call.

    Attributes
    ----------
    key : str
        What the piece is made from where it has no inputs.
    inputs : tuple of str
        Handles of the results that it is made from.
    """

    request: str
    stage: int
    piece: int
    remaining_ms: float
    key: str
    inputs: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class PieceResult:
    """Outcome of one piece: a handle, or why there is none."""

    handle: str = ""
    refusal: Refusal | None = None


class StageClient(abc.ABC):
    """Client of stage servers."""

    @abc.abstractmethod
    async def run(self, server, items, timeout_ms):
        """Have a server work on a batch.

        Parameters
        ----------
        server : servers.Server
        items : list of Item
        timeout_ms : float

        Returns
        -------
        expression.Result
            List of ``PieceResult`` in the order of the items. An error with outcome
            ``NOT_RUN`` means that the server took none of them.
        """

    @abc.abstractmethod
    async def free(self, address, handles, timeout_ms):
        """Give results up; return a result."""
