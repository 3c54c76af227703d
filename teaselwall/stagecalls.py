"""Interface of calls to stage servers, each with pieces of several requests."""

import abc
import dataclasses
import enum


class Refusal(enum.Enum):
    """Why a server returned no result for a piece.

    Attributes
    ----------
    LATE
        The time for the piece was over.
    INPUT_GONE
        The server could not get an input.
    NO_ROOM
        The server had no space for the result.
    FAILED
        The work failed.
    """

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """One piece in a call to a stage server.

    Attributes
    ----------
    request : str
        Id of the request.
    stage : int
        Number of the stage in its request.
    piece : int
        Index of the piece in its stage.
    remaining_ms : float
        Time left for the stages of the request.
    key : str
        What the piece is computed from if it has no inputs, else empty.
    inputs : tuple of str
        Handles of the results that it is computed from.
    """

    request: str
    stage: int
    piece: int
    remaining_ms: float
    key: str
    inputs: tuple


def item_of(piece):
    """Return the item for a piece of a job.

    Parameters
    ----------
    piece : stagepieces.Piece
    """
    job, inputs = piece.job, piece.stage.inputs()
    return Item(
        request=job.request,
        stage=piece.stage.number,
        piece=piece.index,
        remaining_ms=job.remaining_ms(),
        key="" if inputs else job.key,
        inputs=inputs,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class PieceResult:
    """Result of one piece: its handle, or the reason why there is none."""

    handle: str = ""
    refusal: Refusal | None = None


class StageClient(abc.ABC):
    """Client of stage servers."""

    @abc.abstractmethod
    async def run(self, server, items, timeout_ms):
        """Have a server run a batch of pieces.

        Parameters
        ----------
        server : servers.Server
        items : list of Item
        timeout_ms : float

        Returns
        -------
        expression.Result
            List of ``PieceResult`` in the order of the items. An error with outcome
            ``NOT_RUN`` means that the server started none of them.
        """

    @abc.abstractmethod
    async def free(self, server, handles, timeout_ms):
        """Have a server free results.

        Parameters
        ----------
        server : servers.Server
        handles : list of str
        timeout_ms : float

        Returns
        -------
        expression.Result
        """
