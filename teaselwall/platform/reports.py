"""Reports of model engines in the platform's protocol."""

import msgspec

from teaselwall import errors

TIMEOUT_MS = 300.0


class _Report(msgspec.Struct):
    born: int | None = None


async def read_start(transport, address):
    """Return when the process of a model engine started, on its own clock.

    Parameters
    ----------
    transport : httpcalls.HttpCalls
    address : str

    Returns
    -------
    int or None
        None if the server did not say it in time.
    """
    result = await transport.call(
        "GET", address, "/v1/report", None, TIMEOUT_MS, (), fresh=True
    )
    report = result.bind(lambda reply: errors.read_reply(reply, _Report, "engine"))
    return report.ok.born if report.is_ok() else None
