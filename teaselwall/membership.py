"""Membership view of one entry host: the live entry hosts that it knows.

Each member of this host's data centre is tracked by a heartbeat counter. Every other
data centre is known by a summary: a counter and a few delegates. So the view grows
with the size of the data centre and the number of data centres, not with the fleet.
The views of two hosts may differ; anything that needs agreement goes through the log.
"""

import secrets

import xxhash

from teaselwall import members
from teaselwall.generated import messages

N_DELEGATES = 3
NONCE_BYTES = 6
N_COUNTER_STEPS = 256
# Exchange intervals between two summaries of a data centre that has not changed.
SUMMARY_INTERVAL_FACTOR = 5
# A data centre counts as dead after this many summary intervals plus ``dead_after_ms``
# without a new summary.
SUMMARY_DEAD_FACTOR = 3
# A dead member's entry is removed after this many times ``dead_after_ms``.
REMOVAL_FACTOR = 10


class Membership:
    """Membership view of this host.

    Parameters
    ----------
    clock : clock.Clock
    settings : generated.settings.Settings
    nonce : str, optional
        Hexadecimal; random if not given.
    summary_interval_ms : float, optional
        Time between two summaries of a data centre that has not changed.

    Attributes
    ----------
    me : members.Member
        This host.
    members_by_nonce : dict of str to members.Member
        Members of this data centre by nonce, dead ones included for a while.
    summaries : dict of str to members.Summary
        By data centre, this one included.
    dead_after_ms : float
        A member whose heartbeat has not advanced for this long counts as dead.
    listed : list of str or None
        Addresses of other hosts that have left theirs in the store, as read when this
        host started; None before.
    """

    __slots__ = (
        "clock",
        "settings",
        "me",
        "members_by_nonce",
        "summaries",
        "dead_after_ms",
        "summary_interval_ms",
        "listed",
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
        self.me = members.Member(row, 0)
        self.members_by_nonce = {self.me.nonce: self.me}
        self.summaries = {}
        self.dead_after_ms = settings.membership.dead_after_ms
        interval_ms = settings.membership.exchange_interval_ms
        self.summary_interval_ms = (
            summary_interval_ms or SUMMARY_INTERVAL_FACTOR * interval_ms
        )
        self.listed = None

    def alive(self):
        """Return the known live members, draining ones included."""
        return self.neighbours() + self.remote_delegates()

    def heard_lately(self):
        """Return the known members, those of this data centre also if just silent.

        A member's heartbeat may spread more slowly than it counts as dead. Hosts agree
        on this list more often than on ``alive``.
        """
        return [*self.members_by_nonce.values(), *self.remote_delegates()]

    def sizes(self):
        """Return the number of members that are not draining, by data centre."""
        sizes = {name: summary.n_members for name, summary in self._live_summaries()}
        neighbours = self.neighbours()
        sizes[self.me.data_centre] = sum(not member.draining for member in neighbours)
        return sizes

    def neighbours(self):
        """Return the live members of this data centre, this host included."""
        since_ms = self.clock.now_ms() - self.dead_after_ms
        known = self.members_by_nonce.values()
        return [m for m in known if m is self.me or m.seen_ms > since_ms]

    def remote_delegates(self):
        """Return the known live members of the other data centres."""
        return [
            member
            for _, summary in self._live_summaries()
            for member in summary.members
        ]

    def n_hosts(self):
        """Return the number of entry hosts, in all data centres, not draining."""
        return sum(self.sizes().values())

    def _live_summaries(self):
        oldest_ms = self.clock.now_ms() - self._summary_dead_ms()
        return [
            (data_centre, summary)
            for data_centre, summary in self.summaries.items()
            if data_centre != self.me.data_centre and summary.seen_ms > oldest_ms
        ]

    def delegates(self):
        """Return the delegates of all data centres.

        Duties of the whole fleet are assigned to delegates, since the list of delegates
        differs between two hosts only until a change has reached both.
        """
        return delegates_of(self.neighbours()) + self.remote_delegates()

    def is_member(self, nonce):
        """Return whether the process with a nonce is a live member."""
        return any(member.nonce == nonce for member in self.alive())

    def find(self, address):
        """Return the live member at a peer address, or None."""
        matches = [member for member in self.alive() if member.address == address]
        return max(matches, key=lambda member: member.seen_ms, default=None)

    def advance_heartbeat(self):
        """Advance this host's heartbeat and update its data centre's summary if due."""
        self.me.heartbeat += 1
        self.me.seen_ms = self.clock.now_ms()
        self._remove_long_dead()
        if self._issues_summary():
            self._issue_summary()

    def rows(self):
        """Return the rows of the live members of this data centre."""
        return [member.row() for member in self.neighbours()]

    def digest(self):
        """Return the counter of each known summary, by data centre."""
        return {name: summary.counter for name, summary in self.summaries.items()}

    def newer_summaries(self, digest):
        """Return the summaries that are newer than those in a peer's digest.

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
        """Merge a peer's view into this one.

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

    def grant_grace(self, paused_ms):
        """Leave the time of a pause out of the silence of every member.

        Heartbeats missed while this process was paused don't show that other members
        are dead. Silence before the pause still counts, however many pauses follow.

        Parameters
        ----------
        paused_ms : float
        """
        now_ms = self.clock.now_ms()
        for member in self.members_by_nonce.values():
            member.seen_ms = min(now_ms, member.seen_ms + paused_ms)
        for summary in self.summaries.values():
            summary.seen_ms = min(now_ms, summary.seen_ms + paused_ms)

    def _summary_dead_ms(self):
        return SUMMARY_DEAD_FACTOR * self.summary_interval_ms + self.dead_after_ms

    def _merge_row(self, row):
        if row.nonce == self.me.nonce or row.data_centre != self.me.data_centre:
            return
        known = self.members_by_nonce.get(row.nonce)
        if known is None:
            self.members_by_nonce[row.nonce] = members.Member(row, self.clock.now_ms())
        elif row.heartbeat > known.heartbeat:
            known.update(row, self.clock.now_ms())

    def _merge_sender(self, row, leaving):
        """Merge the sender's own row and count other processes at its address as dead.

        A sender that is leaving counts as dead itself.
        """
        if row.data_centre != self.me.data_centre:
            self._update_delegate(row)
            return
        self._merge_row(row)
        for nonce, member in list(self.members_by_nonce.items()):
            if member is self.me or member.address != row.address:
                continue
            if leaving or nonce != row.nonce:
                member.seen_ms = self.clock.now_ms() - self.dead_after_ms

    def _update_delegate(self, row):
        """Take over what a delegate of another data centre says about itself."""
        summary = self.summaries.get(row.data_centre)
        for member in summary.members if summary is not None else ():
            if member.nonce == row.nonce and row.heartbeat > member.heartbeat:
                member.update(row, member.seen_ms)

    def _merge_summary(self, row):
        known = self.summaries.get(row.data_centre)
        if known is not None and known.counter >= row.counter:
            return
        if row.data_centre == self.me.data_centre:
            self._add_unknown_neighbours(row.members)
        now_ms = self.clock.now_ms()
        found = [members.Member(member, now_ms) for member in row.members[:N_DELEGATES]]
        if known is not None:
            _keep_newer(found, known.members)
        self.summaries[row.data_centre] = members.Summary(
            row.counter, found, row.n_members, now_ms
        )

    def _add_unknown_neighbours(self, rows):
        """Add members of this data centre that are known only from a summary.

        Hosts of one data centre that start together, with seeds in other data
        centres, find each other this way.
        """
        for row in rows:
            if row.nonce not in self.members_by_nonce:
                self._merge_row(row)

    def _issues_summary(self):
        first = min(member.address for member in self.neighbours())
        return first == self.me.address

    def _issue_summary(self):
        known = self.summaries.get(self.me.data_centre)
        neighbours = self.neighbours()
        delegates = delegates_of(neighbours)
        n_members = sum(not member.draining for member in neighbours)
        if known is not None and not self._is_summary_due(known, delegates, n_members):
            return
        counter = known.counter if known is not None else 0
        counter += self._counter_step()
        now_ms = self.clock.now_ms()
        copies = [members.Member(member.row(), now_ms) for member in delegates]
        self.summaries[self.me.data_centre] = members.Summary(
            counter, copies, n_members, now_ms
        )

    def _counter_step(self):
        """Return the increment of the counter for a new summary.

        Hosts that don't know each other yet write summaries concurrently. Different
        increments keep their counters from being equal, so that one summary wins.
        """
        return 1 + xxhash.xxh32_intdigest(self.me.nonce.encode()) % N_COUNTER_STEPS

    def _is_summary_due(self, known, delegates, n_members):
        if n_members != known.n_members:
            return True
        old = [member.duties() for member in known.members]
        new = [member.duties() for member in delegates]
        elapsed_ms = self.clock.now_ms() - known.seen_ms
        return old != new or elapsed_ms >= self.summary_interval_ms

    def _remove_long_dead(self):
        limit_ms = REMOVAL_FACTOR * self.dead_after_ms
        now_ms = self.clock.now_ms()
        for nonce, member in list(self.members_by_nonce.items()):
            if member is not self.me and now_ms - member.seen_ms > limit_ms:
                del self.members_by_nonce[nonce]


def _keep_newer(found, known):
    """Keep what members have said themselves since a summary was written."""
    by_nonce = {member.nonce: member for member in known}
    for member in found:
        old = by_nonce.get(member.nonce)
        if old is not None and old.heartbeat > member.heartbeat:
            member.update(old, member.seen_ms)


def delegates_of(candidates):
    """Return up to ``N_DELEGATES`` members, the same on every host with this view.

    The fastest come first, as duties cost processor time, then those that have run
    longest. Draining members stay in the list, so that others learn that they drain.
    """
    ordered = sorted(candidates, key=lambda member: (-member.n_cores, member.nonce))
    return ordered[:N_DELEGATES]
