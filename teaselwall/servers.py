"""Backend servers as one entry host sees them."""

import msgspec

from teaselwall import warmth
from teaselwall.generated import messages

LOAD_HEADER = b"server-load"
LATENCY_WEIGHT = 0.2


class Server:
    """One backend server of one incarnation.

    Parameters
    ----------
    entry : messages.HostEntry
    """

    __slots__ = (
        "address",
        "pool",
        "data_centre",
        "incarnation",
        "leaving",
        "ejected",
        "in_flight",
        "report",
        "latency_ms",
        "n_failures",
        "warmth",
    )

    def __init__(self, entry):
        self.address = entry.address
        self.pool = entry.pool
        self.data_centre = entry.data_centre
        self.incarnation = entry.incarnation
        self.leaving = entry.state == "leaving"
        self.ejected = False
        self.in_flight = 0
        self.report = None
        self.latency_ms = 0.0
        self.n_failures = 0
        self.warmth = warmth.Warmth()

    def note_latency(self, latency_ms):
        """Fold one call's latency into the moving average, in ms."""
        if not self.latency_ms:
            self.latency_ms = latency_ms
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def note_report(self, report):
        """Take a load report, unless it speaks of another incarnation.

        Parameters
        ----------
        report : messages.LoadReport
        """
        self.warmth.note(report, self.incarnation)
        if report.incarnation == self.incarnation:
            self.report = report


def note_reply(server, reply):
    """Take the load report that rides on a reply; return the reply."""
    note_headers(server, reply.headers)
    return reply


def note_headers(server, headers):
    """Take the load report from reply headers, where there is one."""
    raw = headers.get(LOAD_HEADER)
    if raw is None:
        return
    try:
        server.note_report(msgspec.json.decode(raw, type=messages.LoadReport))
    except msgspec.DecodeError:
        return
