"""What the owner of a partition answers to claimants."""

import collections

from teaselwall import membership
from teaselwall.generated import messages

MAX_QUEUED = 5000
MAX_WAITERS = 2000
MAX_TABLE_BYTES = 48 * 1024 * 1024
MAX_HEARD = 1024
HEARD_MS = 10000


class Granter:
    """Answers claims and outcomes from the table of one owner.

    Parameters
    ----------
    owner : owners.Owner
    """

    __slots__ = ("owner", "n_waiters", "heard")

    def __init__(self, owner):
        self.owner = owner
        self.n_waiters = 0
        self.heard = collections.OrderedDict()

    async def ask(self, ask):
        """Answer a claim.

        Parameters
        ----------
        ask : messages.ClaimAsk

        Returns
        -------
        messages.ClaimReply
            ``granted`` for one claim id at most while a key is open. The states
            ``log_away`` and ``overloaded`` are given only where the table knows
            nothing of the key.
        """
        self._hear(ask.entry.nonce)
        if self.n_waiters >= MAX_WAITERS:
            return self._crowded(ask.entry)
        self.n_waiters += 1
        reply = None
        try:
            with self.owner.clock.timeout_ms(ask.wait_ms):
                reply = await self._ask(ask)
        finally:
            self.n_waiters -= 1
        return reply if reply is not None else self._late_reply(ask.entry)

    async def _ask(self, ask):
        refusal = await self._await_epoch()
        if refusal is not None:
            return refusal
        for claim in ask.abandoned:
            self.owner.release(ask.entry, claim)
        is_checked = False
        while self.owner.epoch is not None:
            reply = self.look_up(ask.entry)
            if reply is None and not self._is_held(ask.entry):
                reply = await self._claim(ask.entry)
            elif reply is None and not is_checked:
                reply = await self._check()
                is_checked = True
            elif reply is None:
                reply = await self._await_outcome(ask.entry)
            if reply is not None:
                return reply
        return self._moved("moved")

    def look_up(self, entry):
        """Return what is final about a key, or None where it is free or open."""
        partition = self.owner.partition
        if entry.era < partition.floor:
            return messages.ClaimReply(state="expired")
        held = partition.claims.get(entry.key)
        if held is None or held.kind == "claim":
            return None
        if held.body_hash != entry.body_hash:
            return messages.ClaimReply(state="conflict")
        if held.kind == "unknown":
            return messages.ClaimReply(state="unknown")
        return messages.ClaimReply(
            state="done", result=held.result, result_kept=held.result_kept
        )

    async def _check(self):
        """Make sure that the epoch stood after this call; None where it did.

        What a table says of an open claim is good only while nobody has taken the
        partition over; what it says of an outcome is final.
        """
        if self.owner.log_away:
            return messages.ClaimReply(state="unknown")
        pending = self.owner.enqueue(None)
        await pending.done.wait()
        if pending.failure == "log_away":
            return messages.ClaimReply(state="unknown")
        return self._moved(pending.failure) if pending.failure else None

    async def _await_outcome(self, entry):
        held = self.owner.partition.claims[entry.key]
        if held.body_hash != entry.body_hash:
            return messages.ClaimReply(state="conflict")
        if not self._has_claimant(held):
            return messages.ClaimReply(state="unknown")
        await self.owner.changed.wait()
        return None

    def _hear(self, nonce):
        """Note that a claimant lives; it may be too young to be a member here."""
        self.heard.pop(nonce, None)
        self.heard[nonce] = self.owner.clock.now_ms()
        if len(self.heard) > MAX_HEARD:
            self.heard.popitem(last=False)

    def _was_heard(self, nonce):
        heard_ms = self.heard.get(nonce)
        if heard_ms is None:
            return False
        return self.owner.clock.now_ms() - heard_ms < HEARD_MS

    def _has_claimant(self, entry):
        view = self.owner.membership
        member = view.find(entry.claimant)
        if member is not None:
            return member.nonce == entry.nonce
        if self._was_heard(entry.nonce):
            return True
        # Of large data centres elsewhere only some members are known.
        known = [m for m in view.alive() if m.data_centre == entry.data_centre]
        is_own = entry.data_centre == view.me.data_centre
        return not is_own and len(known) >= membership.N_DELEGATES

    def _is_held(self, entry):
        return entry.key in self.owner.partition.claims

    async def _claim(self, entry):
        if self.owner.log_away:
            return messages.ClaimReply(state=self._away())
        if self._is_full():
            failed = await self._check()
            return failed or messages.ClaimReply(state="overloaded")
        pending = self.owner.enqueue(entry)
        is_granted = False
        try:
            await pending.done.wait()
            is_granted = pending.applied
        finally:
            if not is_granted:
                self.owner.give_up(pending)
        if is_granted:
            return messages.ClaimReply(state="granted")
        # Another claim may have been granted before the log went away.
        if not pending.failure or self._is_held(entry):
            return None
        if pending.failure == "log_away":
            return messages.ClaimReply(state=self._away())
        return self._moved(pending.failure)

    def _away(self):
        is_known = self.owner.is_current and not self.owner.has_gap()
        return "log_away" if is_known else "unread"

    def _is_full(self):
        is_table_full = self.owner.partition.n_bytes >= MAX_TABLE_BYTES
        return is_table_full or len(self.owner.queue) >= MAX_QUEUED

    async def settle(self, ask):
        """Record an outcome.

        Parameters
        ----------
        ask : messages.ClaimAsk

        Returns
        -------
        messages.ClaimReply
            ``recorded`` where the outcome was read back, ``expired`` where the
            claim is no longer kept.
        """
        reply = None
        with self.owner.clock.timeout_ms(ask.wait_ms):
            reply = await self._settle(ask.entry)
        return reply if reply is not None else messages.ClaimReply(state="slow")

    async def _settle(self, entry):
        refusal = await self._await_epoch()
        if refusal is not None:
            return refusal
        if entry.kind != "not_run" and self.owner.shows(entry):
            return messages.ClaimReply(state="recorded")
        if self.owner.log_away:
            return messages.ClaimReply(state="log_away")
        if len(self.owner.queue) >= 2 * MAX_QUEUED:
            return messages.ClaimReply(state="overloaded")
        pending = self.owner.enqueue(entry)
        await pending.done.wait()
        if pending.failure:
            return self._moved(pending.failure)
        return messages.ClaimReply(state="recorded" if pending.applied else "expired")

    async def _await_epoch(self):
        self.owner.wanted.set()
        while self.owner.epoch is None:
            if self.owner.log_away:
                return messages.ClaimReply(state="unread")
            await self.owner.changed.wait()
        return None

    def _late_reply(self, entry):
        if self.owner.epoch is None:
            state = "unread" if self.owner.log_away else "slow"
            return messages.ClaimReply(state=state)
        state = "open" if self._is_held(entry) else "slow"
        return self.look_up(entry) or messages.ClaimReply(state=state)

    def _crowded(self, entry):
        if self.owner.epoch is None:
            return messages.ClaimReply(state="unread")
        state = "unknown" if self._is_held(entry) else "overloaded"
        return self.look_up(entry) or messages.ClaimReply(state=state)

    def _moved(self, state):
        return messages.ClaimReply(state=state, owner=self.owner.successor)
