"""Entry hosts that this host knows, itself among them.

Members of the own data centre are known one by one, by heartbeats that count up.
Of every other data centre a summary is known: a counter and a few delegates. So
the table grows with the data centre and the number of data centres, not with the
fleet. Views of two hosts may differ; what needs agreement goes through the log.
"""

import secrets

import xxhash

from teaselwall.generated import messages

N_DELEGATES = 3
NONCE_BYTES = 6
N_STEPS = 256
SUMMARY_INTERVALS = 5
SUMMARY_DEAD_FACTOR = 3
FORGET_FACTOR = 10


class Member:
    """One entry host process.

    Parameters
    ----------
    row : messages.MemberRow
    seen_ms : float
        When its heartbeat was last seen to advance, on this host's clock.

    Attributes
    ----------
    address : str
        Where peers reach it.
    callers : str
        Where callers reach it.
    nonce : str
        Tells two processes at one address apart.
    n_requests : int
        Requests in flight as last heard.
    n_cores : float
        Processor speed in reference cores.
    backlog_ms : int
        Time that the stage work waiting there takes.
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
        self.seen_ms = seen_ms

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
        )


class Summary:
    """What is known of another data centre.

    Parameters
    ----------
    counter : int
        Grows with each issue; the highest wins.
    members : list of Member
        Its delegates.
    n_members : int
        Members of the data centre that do not drain.
    seen_ms : float
        When the counter was last seen to advance.
    """

    __slots__ = ("counter", "members", "n_members", "seen_ms")

    def __init__(self, counter, members, n_members, seen_ms):
        self.counter = counter
        self.members = members
        self.n_members = n_members
        self.seen_ms = seen_ms


class Membership:
    """The members as this host sees them.

    Parameters
    ----------
    clock : clock.Clock
    settings : generated.settings.Settings
    nonce : str, optional
        Hexadecimal; drawn at random where it is not given.
    summary_interval_ms : float, optional
        Time between two summaries of a data centre without change.
    """

    __slots__ = (
        "clock",
        "settings",
        "me",
        "local",
        "summaries",
        "dead_after_ms",
        "summary_interval_ms",
    )

    def __init__(self, clock, settings, nonce=None, summary_interval_ms=None):
        self.clock = clock
        self.settings = settings
        row = messages.MemberRow(
            address=settings.listen.peers,
            callers=settings.listen.callers,
            data_centre=settings.host.data_centre,
            nonce=nonce or secrets.token_hex(NONCE_BYTES),
            heartbeat=0,
        )
        self.me = Member(row, 0)
        self.local = {self.me.nonce: self.me}
        self.summaries = {}
        self.dead_after_ms = settings.membership.dead_after_ms
        interval_ms = settings.membership.exchange_interval_ms
        self.summary_interval_ms = (
            summary_interval_ms or SUMMARY_INTERVALS * interval_ms
        )

    def alive(self):
        """Return the members believed alive, draining ones included."""
        return self.neighbours() + self.remote()

    def sizes(self):
        """Return the number of members that do not drain, by data centre."""
        sizes = {name: summary.n_members for name, summary in self._live_summaries()}
        near = self.neighbours()
        sizes[self.me.data_centre] = sum(not member.draining for member in near)
        return sizes

    def neighbours(self):
        """Return the live members of the own data centre, this host included."""
        return [member for member in self.local.values() if self._is_alive(member)]

    def remote(self):
        """Return the known live members of the other data centres."""
        return [
            member
            for _, summary in self._live_summaries()
            for member in summary.members
        ]

    def n_hosts(self):
        """Return the number of entry hosts of all data centres that do not drain."""
        return sum(self.sizes().values())

    def _live_summaries(self):
        oldest_ms = self.clock.now_ms() - self._summary_dead_ms()
        return [
            (data_centre, summary)
            for data_centre, summary in self.summaries.items()
            if data_centre != self.me.data_centre and summary.seen_ms > oldest_ms
        ]

    def delegates(self):
        """Return the members that hosts of every data centre know of.

        Duties of the whole fleet are given to these, since their list differs
        between two hosts only while news travels.
        """
        return delegates_of(self.neighbours()) + self.remote()

    def is_member(self, nonce):
        """Return whether a process is believed alive."""
        return any(member.nonce == nonce for member in self.alive())

    def find(self, address):
        """Return the live member at a peer address, or None."""
        found = [member for member in self.alive() if member.address == address]
        return max(found, key=lambda member: member.seen_ms, default=None)

    def advance_heartbeat(self):
        """Count the own heartbeat up and refresh the own summary where due."""
        self.me.heartbeat += 1
        self.me.seen_ms = self.clock.now_ms()
        self._forget()
        if self._leads():
            self._issue_summary()

    def rows(self):
        """Return the rows of the live members of the own data centre."""
        return [member.row() for member in self.neighbours()]

    def digest(self):
        """Return the counter of each known summary by data centre."""
        return {name: summary.counter for name, summary in self.summaries.items()}

    def newer_summaries(self, digest):
        """Return the summaries that a peer with this digest does not have.

        Parameters
        ----------
        digest : dict of str to int

        Returns
        -------
        list of messages.SummaryRow
        """
        return [
            messages.SummaryRow(
                data_centre=name,
                counter=summary.counter,
                n_members=summary.n_members,
                members=[member.row() for member in summary.members],
            )
            for name, summary in self.summaries.items()
            if summary.counter > digest.get(name, -1)
        ]

    def merge(self, exchange):
        """Take a peer's view.

        Parameters
        ----------
        exchange : messages.Exchange
        """
        if exchange.sender.data_centre == self.me.data_centre:
            for row in exchange.rows:
                self._merge_row(row)
        self._merge_sender(exchange.sender, exchange.leaving)
        for row in exchange.summaries:
            self._merge_summary(row)

    def grant_grace(self):
        """Count every member as seen now.

        For a process that was paused: its own silence says nothing of others.
        """
        now_ms = self.clock.now_ms()
        for member in self.local.values():
            member.seen_ms = now_ms
        for summary in self.summaries.values():
            summary.seen_ms = now_ms

    def _is_alive(self, member):
        if member is self.me:
            return True
        return self.clock.now_ms() - member.seen_ms < self.dead_after_ms

    def _summary_dead_ms(self):
        return SUMMARY_DEAD_FACTOR * self.summary_interval_ms + self.dead_after_ms

    def _merge_row(self, row):
        if row.nonce == self.me.nonce or row.data_centre != self.me.data_centre:
            return
        known = self.local.get(row.nonce)
        if known is None:
            self.local[row.nonce] = Member(row, self.clock.now_ms())
        elif row.heartbeat > known.heartbeat:
            known.heartbeat = row.heartbeat
            known.draining = row.draining
            known.n_requests = row.n_requests
            known.backlog_ms = row.backlog_ms
            known.seen_ms = self.clock.now_ms()

    def _merge_sender(self, row, leaving):
        """Take the sender's row, heard at first hand, over an older process's."""
        if row.data_centre != self.me.data_centre:
            return
        self._merge_row(row)
        for nonce, member in list(self.local.items()):
            if member is self.me or member.address != row.address:
                continue
            if leaving or nonce != row.nonce:
                member.seen_ms = self.clock.now_ms() - self.dead_after_ms

    def _merge_summary(self, row):
        known = self.summaries.get(row.data_centre)
        if known is not None and known.counter >= row.counter:
            return
        if row.data_centre == self.me.data_centre:
            self._meet(row.members)
        now_ms = self.clock.now_ms()
        members = [Member(member, now_ms) for member in row.members[:N_DELEGATES]]
        self.summaries[row.data_centre] = Summary(
            row.counter, members, row.n_members, now_ms
        )

    def _meet(self, rows):
        """Take neighbours that are known only elsewhere.

        Hosts that start together with seeds in other data centres find one another
        by this.
        """
        for row in rows:
            if row.nonce not in self.local:
                self._merge_row(row)

    def _leads(self):
        first = min(member.address for member in self.neighbours())
        return first == self.me.address

    def _issue_summary(self):
        known = self.summaries.get(self.me.data_centre)
        near = self.neighbours()
        members = delegates_of(near)
        n_members = sum(not member.draining for member in near)
        if known is not None and not self._is_due(known, members, n_members):
            return
        counter = known.counter if known is not None else 0
        counter += self._counter_step()
        now_ms = self.clock.now_ms()
        copies = [Member(member.row(), now_ms) for member in members]
        self.summaries[self.me.data_centre] = Summary(
            counter, copies, n_members, now_ms
        )

    def _counter_step(self):
        """Return by how much an issue counts up.

        Hosts that have not met yet issue side by side; different steps keep their
        counters from being equal, so that one summary wins.
        """
        return 1 + xxhash.xxh32_intdigest(self.me.nonce.encode()) % N_STEPS

    def _is_due(self, known, members, n_members):
        if n_members != known.n_members:
            return True
        old = [(member.nonce, member.draining) for member in known.members]
        new = [(member.nonce, member.draining) for member in members]
        elapsed_ms = self.clock.now_ms() - known.seen_ms
        return old != new or elapsed_ms >= self.summary_interval_ms

    def _forget(self):
        limit_ms = FORGET_FACTOR * self.dead_after_ms
        now_ms = self.clock.now_ms()
        for nonce, member in list(self.local.items()):
            if member is not self.me and now_ms - member.seen_ms > limit_ms:
                del self.local[nonce]


def delegates_of(members):
    """Return up to ``N_DELEGATES`` members, the same on every host.

    The fastest come first, as duties cost processor time, then those that run
    longest. Draining members are kept in the list, so that others learn of it.
    """
    ordered = sorted(members, key=lambda member: (-member.n_cores, member.nonce))
    return ordered[:N_DELEGATES]
