"""Which entry host owns which partition, and the partitions that this host owns."""

import logging

import msgspec
import trio
import xxhash

from teaselwall import events, grants, owners
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

CLAIM_PATH = "/peer/claims/ask"
SETTLE_PATH = "/peer/claims/settle"
CHECK_INTERVAL_MS = 1000
SUPERSEDED_YIELD_MS = 3000  # how long a replaced owner yields to its successor
LAYOUT_RETRY_INTERVAL_MS = 500
MAX_LOG_TIMEOUT_MS = 1000


class Ownerships:
    """The expected owner of each partition, and this host's state for each partition.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    state : configuration.State
    membership : membership.Membership
    settings : generated.settings.ClaimSettings
    timeout_ms : float
        Time limit of one call to the log; at most ``MAX_LOG_TIMEOUT_MS`` is used.

    Attributes
    ----------
    owners : list of owners.Owner
        By partition number.
    granters : list of grants.Granter
        By partition number.
    """

    __slots__ = ("clock", "membership", "settings", "owners", "granters")

    def __init__(self, clock, log, state, membership, settings, timeout_ms):
        self.clock = clock
        self.membership = membership
        self.settings = settings
        log_timeout_ms = min(timeout_ms, MAX_LOG_TIMEOUT_MS)
        self.owners = [
            owners.Owner(
                number, clock, log, state, membership, settings, log_timeout_ms
            )
            for number in range(settings.n_partitions)
        ]
        self.granters = [grants.Granter(owner) for owner in self.owners]

    def candidates(self, partition):
        """Return the delegates' peer addresses, a partition's likeliest owner first.

        Parameters
        ----------
        partition : int

        Returns
        -------
        list of str
            Draining members come last.
        """
        return rank(self.membership.delegates(), partition)

    def add_handlers(self, control):
        """Add the handlers for calls from peers to the control interface."""
        control.add(CLAIM_PATH, self.handle_claim, cancel_on_disconnect=True)
        control.add(SETTLE_PATH, self.handle_settle)

    async def handle_claim(self, message):
        """Answer a peer's claim."""
        return await self.claim(msgspec.convert(message, messages.ClaimAsk))

    async def handle_settle(self, message):
        """Record an outcome that a peer sent."""
        return await self.settle(msgspec.convert(message, messages.ClaimAsk))

    async def claim(self, message):
        """Answer a claim, or name the owner; see ``grants.Granter.claim``."""
        return self._redirect(message) or await self.granters[message.partition].claim(
            message
        )

    async def settle(self, message):
        """Record an outcome, or name the owner; see ``grants.Granter.settle``."""
        return self._redirect(message) or await self.granters[message.partition].settle(
            message
        )

    def _redirect(self, message):
        if message.n_partitions != self.settings.n_partitions:
            return messages.ClaimReply(state="unread")
        owner = self.owners[message.partition]
        if owner.epoch is not None or message.force:
            return None
        expected = self._expected_owner(owner)
        if expected == self.membership.me.address:
            return None
        return messages.ClaimReply(state="moved", owner=expected)

    def _expected_owner(self, owner):
        # If two hosts both expected to be the owner, each claim would make them take
        # the partition from each other.
        if owner.superseded_ms is not None:
            is_recent = self.clock.now_ms() - owner.superseded_ms < SUPERSEDED_YIELD_MS
            if is_recent and self.membership.find(owner.successor) is not None:
                return owner.successor
        return self.candidates(owner.number)[0]

    async def run(self):
        """Take over and serve the partitions that this host is expected to own."""
        await self._await_layout()
        async with trio.open_nursery() as nursery:
            for owner in self.owners:
                nursery.start_soon(owner.run)
            while True:
                self._request_takeovers()
                await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    async def _await_layout(self):
        """Wait until the log confirms the number of partitions in the settings."""
        # With another number of partitions, a key claimed before would belong to
        # another partition and could be claimed a second time.
        while True:
            result = await self.owners[0].partition.read_layout()
            is_known = result.is_ok() and result.ok in (0, self.settings.n_partitions)
            for owner in self.owners:
                owner.log_away = not is_known
            if is_known:
                return
            if result.is_ok():
                remedy = f"Set claims.n_partitions = {result.ok} on every entry host."
                events.log(
                    logger, logging.ERROR, "claims_layout_differs", remedy=remedy
                )
            await self.clock.sleep_ms(LAYOUT_RETRY_INTERVAL_MS)

    def _request_takeovers(self):
        # A partition needs an owner even without new claims, as its claims have to be
        # written again before the log drops them.
        for owner in self.owners:
            if self._expected_owner(owner) == self.membership.me.address:
                owner.takeover_requested.set()


def rank(members, purpose):
    """Rank members for a purpose by rendezvous hashing.

    Parameters
    ----------
    members : list of members.Member
    purpose : object
        Name or number that is hashed with each address.

    Returns
    -------
    list of str
        Peer addresses, the first choice first; draining members come last.
    """

    def sort_key(member):
        name = f"{purpose}/{member.address}".encode()
        return member.draining, xxhash.xxh3_64_intdigest(name)

    return [member.address for member in sorted(members, key=sort_key)]
