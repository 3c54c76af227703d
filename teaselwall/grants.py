"""Replies of the owner of a partition to claims and outcomes."""

import collections

from teaselwall import membership
from teaselwall.generated import messages

MAX_QUEUED_ENTRIES = 5000
MAX_WAITING_CLAIMS = 2000
MAX_TABLE_BYTES = 48 * 1024 * 1024
MAX_RECENT_CLAIMANTS = 1024
CLAIMANT_LIFE_MS = 10000  # a claimant counts as alive this long after a claim


class Granter:
    """Answers claims and outcomes for one partition.

    Parameters
    ----------
    owner : owners.Owner

    Attributes
    ----------
    n_waiting_claims : int
        Claims that have not been answered yet.
    recent_claimants : collections.OrderedDict of str to float
        By nonce of a host: when it last sent a claim, in ms.
    """

    __slots__ = ("owner", "n_waiting_claims", "recent_claimants")

    def __init__(self, owner):
        self.owner = owner
        self.n_waiting_claims = 0
        self.recent_claimants = collections.OrderedDict()

    async def claim(self, message):
        """Answer a claim.

        Parameters
        ----------
        message : messages.ClaimAsk

        Returns
        -------
        messages.ClaimReply
            ``granted`` for at most one claim id while a key is open. The states
            ``log_away`` and ``overloaded`` are returned only if the table does not
            contain the key.
        """
        self._record_claimant(message.entry.nonce)
        if self.n_waiting_claims >= MAX_WAITING_CLAIMS:
            return self._overload_reply(message.entry)
        self.n_waiting_claims += 1
        reply = None
        try:
            with self.owner.clock.timeout_ms(message.wait_ms):
                reply = await self._answer_claim(message)
        finally:
            self.n_waiting_claims -= 1
        return reply if reply is not None else self._timeout_reply(message.entry)

    async def _answer_claim(self, message):
        refusal = await self._await_epoch()
        if refusal is not None:
            return refusal
        for claim in message.abandoned:
            self.owner.release(message.entry, claim)
        is_confirmed = False
        while self.owner.epoch is not None:
            reply = self.look_up(message.entry)
            if reply is None and not self._has_key(message.entry):
                reply = await self._write_claim(message.entry)
            elif reply is None and not is_confirmed:
                reply = await self._confirm_epoch()
                is_confirmed = True
            elif reply is None:
                reply = await self._await_outcome(message.entry)
            if reply is not None:
                return reply
        return self._owner_reply("moved")

    def look_up(self, entry):
        """Return the final reply for a key, or None if the key is unclaimed or open."""
        partition = self.owner.partition
        if entry.era < partition.floor:
            return messages.ClaimReply(state="expired")
        stored = partition.claims.get(entry.key)
        if stored is None or stored.kind == "claim":
            return None
        if stored.body_hash != entry.body_hash:
            return messages.ClaimReply(state="conflict")
        if stored.kind == "unknown":
            return messages.ClaimReply(state="unknown")
        return messages.ClaimReply(
            state="done", result=stored.result, result_kept=stored.result_kept
        )

    async def _confirm_epoch(self):
        """Return None if the epoch is still in force, otherwise a reply.

        The state of an open claim is reliable only if no other host has taken the
        partition over since; an outcome is final.
        """
        if self.owner.log_away:
            return messages.ClaimReply(state="unknown")
        pending = self.owner.enqueue(None)
        await pending.done.wait()
        if pending.failure == "log_away":
            return messages.ClaimReply(state="unknown")
        return self._owner_reply(pending.failure) if pending.failure else None

    async def _await_outcome(self, entry):
        stored = self.owner.partition.claims[entry.key]
        if stored.body_hash != entry.body_hash:
            return messages.ClaimReply(state="conflict")
        if not self._is_claimant_alive(stored):
            return messages.ClaimReply(state="unknown")
        await self.owner.changed.wait()
        return None

    def _record_claimant(self, nonce):
        """Record that a claimant is alive, as it may not be known as a member yet."""
        self.recent_claimants.pop(nonce, None)
        self.recent_claimants[nonce] = self.owner.clock.now_ms()
        if len(self.recent_claimants) > MAX_RECENT_CLAIMANTS:
            self.recent_claimants.popitem(last=False)

    def _has_claimed_recently(self, nonce):
        claimed_ms = self.recent_claimants.get(nonce)
        if claimed_ms is None:
            return False
        return self.owner.clock.now_ms() - claimed_ms < CLAIMANT_LIFE_MS

    def _is_claimant_alive(self, entry):
        """Return whether the host that claimed a key is alive, as far as is known."""
        view = self.owner.membership
        member = view.find(entry.claimant)
        if member is not None:
            return member.nonce == entry.nonce
        if self._has_claimed_recently(entry.nonce):
            return True
        # Only N_DELEGATES members of a large remote data centre are known here. If that
        # many are known, the claimant may be a live member that is not known.
        known = [m for m in view.alive() if m.data_centre == entry.data_centre]
        is_own = entry.data_centre == view.me.data_centre
        return not is_own and len(known) >= membership.N_DELEGATES

    def _has_key(self, entry):
        return entry.key in self.owner.partition.claims

    async def _write_claim(self, entry):
        if self.owner.log_away:
            return messages.ClaimReply(state=self._log_away_state())
        if self._is_full():
            failed = await self._confirm_epoch()
            if failed is None and self._has_key(entry):
                # Another claim of the key was applied while the epoch was confirmed.
                return None
            return failed or messages.ClaimReply(state="overloaded")
        pending = self.owner.enqueue(entry)
        is_granted = False
        try:
            await pending.done.wait()
            is_granted = pending.applied
        finally:
            if not is_granted:
                self.owner.abandon(pending)
        if is_granted:
            return messages.ClaimReply(state="granted")
        # Another claim may have been granted before the log stopped answering.
        if not pending.failure or self._has_key(entry):
            return None
        if pending.failure == "log_away":
            return messages.ClaimReply(state=self._log_away_state())
        return self._owner_reply(pending.failure)

    def _log_away_state(self):
        """Return ``log_away`` if the key is known to be unclaimed, else ``unread``."""
        is_known = self.owner.is_current and not self.owner.has_log_call_gap()
        return "log_away" if is_known else "unread"

    def _is_full(self):
        is_table_full = self.owner.partition.n_bytes >= MAX_TABLE_BYTES
        return is_table_full or len(self.owner.queue) >= MAX_QUEUED_ENTRIES

    async def settle(self, message):
        """Record an outcome.

        Parameters
        ----------
        message : messages.ClaimAsk

        Returns
        -------
        messages.ClaimReply
            ``recorded`` if the outcome was read back, ``expired`` if the table
            no longer keeps the claim.
        """
        reply = None
        with self.owner.clock.timeout_ms(message.wait_ms):
            reply = await self._settle(message.entry)
        return reply if reply is not None else messages.ClaimReply(state="slow")

    async def _settle(self, entry):
        refusal = await self._await_epoch()
        if refusal is not None:
            return refusal
        if entry.kind != "not_run" and self.owner.is_applied(entry):
            return messages.ClaimReply(state="recorded")
        if self.owner.log_away:
            return messages.ClaimReply(state="log_away")
        if len(self.owner.queue) >= 2 * MAX_QUEUED_ENTRIES:
            return messages.ClaimReply(state="overloaded")
        pending = self.owner.enqueue(entry)
        await pending.done.wait()
        if pending.failure:
            return self._owner_reply(pending.failure)
        return messages.ClaimReply(state="recorded" if pending.applied else "expired")

    async def _await_epoch(self):
        """Wait until this host owns the partition; return a reply if it cannot."""
        self.owner.takeover_requested.set()
        while self.owner.epoch is None:
            if self.owner.log_away:
                return messages.ClaimReply(state="unread")
            await self.owner.changed.wait()
        return None

    def _timeout_reply(self, entry):
        """Return the reply for a claim that was not decided in time."""
        if self.owner.epoch is None:
            state = "unread" if self.owner.log_away else "slow"
            return messages.ClaimReply(state=state)
        state = "open" if self._has_key(entry) else "slow"
        return self.look_up(entry) or messages.ClaimReply(state=state)

    def _overload_reply(self, entry):
        """Return the reply while too many claims are waiting."""
        if self.owner.epoch is None:
            return messages.ClaimReply(state="unread")
        state = "unknown" if self._has_key(entry) else "overloaded"
        return self.look_up(entry) or messages.ClaimReply(state=state)

    def _owner_reply(self, state):
        """Return a reply that names the host which took the partition over."""
        return messages.ClaimReply(state=state, owner=self.owner.successor)
