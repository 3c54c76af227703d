"""Client for the platform's log service: append-only streams with offsets."""

import abc
import urllib.parse

from teaselwall import errors
from teaselwall.generated import messages

RESPONDER = "log service"


class LogService(abc.ABC):
    """Append-only streams whose records the platform keeps for a limited time."""

    @abc.abstractmethod
    async def append(self, stream, data, timeout_ms):
        """Append one record.

        Returns
        -------
        expression.Result
            Offset of the record, or an error. After an error with outcome
            ``UNKNOWN`` the record may have been appended, or may still be.
        """

    @abc.abstractmethod
    async def read(self, stream, offset, limit, timeout_ms, wait_ms=0):
        """Read records, starting at an offset.

        Parameters
        ----------
        stream : str
        offset : int
            First offset to read; the log may have dropped old records, so that the
            reply begins later.
        limit : int
            Largest number of records to return.
        timeout_ms : float
            Timeout of the call, not counting ``wait_ms``.
        wait_ms : float
            How long the log service waits for a record if there is none yet.

        Returns
        -------
        expression.Result
            ``messages.LogRecords``.
        """


class HttpLogService(LogService):
    """Client of the log service over HTTP with JSON.

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
        path = _records_path(stream)
        result = await self.transport.call(
            "POST", self.address, path, {"data": data}, timeout_ms
        )
        return result.bind(
            lambda reply: errors.read_reply(reply, messages.LogAppended, RESPONDER)
        ).map(lambda appended: appended.offset)

    async def read(self, stream, offset, limit, timeout_ms, wait_ms=0):
        """Read records; see ``LogService.read``."""
        query = f"?from={offset}&limit={limit}&wait_ms={int(wait_ms)}"
        path = _records_path(stream) + query
        result = await self.transport.call(
            "GET", self.address, path, None, timeout_ms + wait_ms
        )
        return result.bind(
            lambda reply: errors.read_reply(reply, messages.LogRecords, RESPONDER)
        )


def _records_path(stream):
    return f"/v1/streams/{urllib.parse.quote(stream, safe='')}/records"
