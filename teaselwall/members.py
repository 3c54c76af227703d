"""Members of a membership view, and the summaries of data centres."""

from teaselwall.generated import messages


class Member:
    """One entry host process.

    Parameters
    ----------
    row : messages.MemberRow
    seen_ms : float
        When its heartbeat last advanced, on this host's clock.

    Attributes
    ----------
    address : str
        Address for peers.
    callers : str
        Address for callers.
    nonce : str
        Distinguishes two processes at one address.
    heartbeat : int
        Counter that the process increments in each round of exchanges.
    draining : bool
        Whether the member should get no new requests.
    n_requests : int
        Requests in flight as last reported.
    n_cores : float
        Processor speed in reference cores.
    backlog_ms : int
        Expected time that the stage work queued on the member takes.
    unreachable : list of str
        Pools to none of whose servers the member can open a connection.
    """

    __slots__ = (
        "address",
        "callers",
        "data_centre",
        "nonce",
        "heartbeat",
        "draining",
        "n_requests",
        "n_cores",
        "backlog_ms",
        "unreachable",
        "seen_ms",
    )

    def __init__(self, row, seen_ms):
        self.address = row.address
        self.callers = row.callers
        self.data_centre = row.data_centre
        self.nonce = row.nonce
        self.heartbeat = row.heartbeat
        self.draining = row.draining
        self.n_requests = row.n_requests
        self.n_cores = row.n_cores
        self.backlog_ms = row.backlog_ms
        self.unreachable = row.unreachable
        self.seen_ms = seen_ms

    def update(self, newer, seen_ms):
        """Take over what the member has said since.

        Parameters
        ----------
        newer : messages.MemberRow or Member
        seen_ms : float
        """
        self.heartbeat = newer.heartbeat
        self.draining = newer.draining
        self.n_requests = newer.n_requests
        self.backlog_ms = newer.backlog_ms
        self.unreachable = newer.unreachable
        self.seen_ms = seen_ms

    def duties(self):
        """Return what decides which duties and requests the member gets."""
        return self.nonce, self.draining, self.unreachable

    def row(self):
        """Return the member as a message row."""
        return messages.MemberRow(
            address=self.address,
            callers=self.callers,
            data_centre=self.data_centre,
            nonce=self.nonce,
            heartbeat=self.heartbeat,
            draining=self.draining,
            n_requests=self.n_requests,
            n_cores=self.n_cores,
            backlog_ms=self.backlog_ms,
            unreachable=self.unreachable,
        )


class Summary:
    """Summary of one data centre, as its hosts exchange it with the others.

    Parameters
    ----------
    counter : int
        Grows with each new version; of two summaries the higher counter wins.
    members : list of Member
        Delegates of the data centre.
    n_members : int
        Members of the data centre that are not draining.
    seen_ms : float
        When the counter last advanced, on this host's clock.
    """

    __slots__ = ("counter", "members", "n_members", "seen_ms")

    def __init__(self, counter, members, n_members, seen_ms):
        self.counter = counter
        self.members = members
        self.n_members = n_members
        self.seen_ms = seen_ms


def reaching(candidates, pools):
    """Return the members that reach a backend server, or all if none does.

    Parameters
    ----------
    candidates : list of Member
    pools : set of str
        Pools that have servers.
    """
    found = [m for m in candidates if not pools or pools - set(m.unreachable)]
    return found or candidates
