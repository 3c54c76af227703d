"""The platform's log service: append-only streams with offsets."""

import abc
import urllib.parse

from teaselwall import errors
from teaselwall.generated import messages

PART = "log service"


class LogService(abc.ABC):
    """Append-only streams, kept by the platform for a limited time."""

    @abc.abstractmethod
    async def append(self, stream, data, timeout_ms):
        """Append one record.

        Returns
        -------
        expression.Result
            Offset of the record. An error with outcome ``UNKNOWN`` may have taken
            effect, also later.
        """

    @abc.abstractmethod
    async def read(self, stream, offset, limit, timeout_ms, wait_ms=0):
        """Read records from an offset on.

        Parameters
        ----------
        stream : str
        offset : int
            First offset wanted; older ones may have been dropped.
        limit : int
        timeout_ms : float
        wait_ms : float
            Time to wait for a record where there is none yet.

        Returns
        -------
        expression.Result
            ``messages.LogRecords``.
        """


class HttpLogService(LogService):
    """The log service over HTTP with JSON.

    Parameters
    ----------
    transport : transport.Transport
    address : str
        ``IP:port``.
    """

    __slots__ = ("transport", "address")

    def __init__(self, transport, address):
        self.transport = transport
        self.address = address

    async def append(self, stream, data, timeout_ms):
        """Append one record; see ``LogService.append``."""
        path = _path(stream)
        result = await self.transport.call(
            "POST", self.address, path, {"data": data}, timeout_ms
        )
        return result.bind(
            lambda reply: errors.read_reply(reply, messages.LogAppended, PART)
        ).map(lambda appended: appended.offset)

    async def read(self, stream, offset, limit, timeout_ms, wait_ms=0):
        """Read records; see ``LogService.read``."""
        query = f"?from={offset}&limit={limit}&wait_ms={int(wait_ms)}"
        path = _path(stream) + query
        result = await self.transport.call(
            "GET", self.address, path, None, timeout_ms + wait_ms
        )
        return result.bind(
            lambda reply: errors.read_reply(reply, messages.LogRecords, PART)
        )


def _path(stream):
    return f"/v1/streams/{urllib.parse.quote(stream, safe='')}/records"
