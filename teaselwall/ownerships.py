"""Which entry host owns which partition, and the owners of this host."""

import logging

import msgspec
import trio
import xxhash

from teaselwall import events, grants, owners
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

ASK_PATH = "/peer/claims/ask"
SETTLE_PATH = "/peer/claims/settle"
CHECK_INTERVAL_MS = 1000
YIELD_MS = 3000
LAYOUT_RETRY_MS = 500
MAX_LOG_TIMEOUT_MS = 1000


class Ownerships:
    """Every partition's owner as this host sees it, with its own part in each.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    state : configuration.State
    membership : membership.Membership
    settings : generated.settings.ClaimSettings
    timeout_ms : float
        For one call of the log; at most ``MAX_LOG_TIMEOUT_MS`` is used.
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
        """Return addresses of members, the likeliest owner of a partition first.

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
        """Add the peers' calls to the control interface."""
        control.add(ASK_PATH, self.handle_ask, watched=True)
        control.add(SETTLE_PATH, self.handle_settle)

    async def handle_ask(self, message):
        """Answer a peer's claim."""
        return await self.ask(msgspec.convert(message, messages.ClaimAsk))

    async def handle_settle(self, message):
        """Answer a peer's outcome."""
        return await self.settle(msgspec.convert(message, messages.ClaimAsk))

    async def ask(self, ask):
        """Answer a claim, or name the owner; see ``grants.Granter.ask``."""
        return self._elsewhere(ask) or await self.granters[ask.partition].ask(ask)

    async def settle(self, ask):
        """Record an outcome, or name the owner; see ``grants.Granter.settle``."""
        return self._elsewhere(ask) or await self.granters[ask.partition].settle(ask)

    def _elsewhere(self, ask):
        if ask.n_partitions != self.settings.n_partitions:
            return messages.ClaimReply(state="unread")
        owner = self.owners[ask.partition]
        if owner.epoch is not None or ask.force:
            return None
        believed = self._believed(owner)
        if believed == self.membership.me.address:
            return None
        return messages.ClaimReply(state="moved", owner=believed)

    def _believed(self, owner):
        # Two hosts that both hold themselves for the owner would take the
        # partition from each other with every claim.
        if owner.superseded_ms is not None:
            is_recent = self.clock.now_ms() - owner.superseded_ms < YIELD_MS
            if is_recent and self.membership.find(owner.successor) is not None:
                return owner.successor
        return self.candidates(owner.number)[0]

    async def run(self):
        """Run the owners' tasks, and take over what falls to this host."""
        await self._await_layout()
        async with trio.open_nursery() as nursery:
            for owner in self.owners:
                nursery.start_soon(owner.run)
            while True:
                self._take_up()
                await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    async def _await_layout(self):
        # A key of another number of partitions would be claimed a second time.
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
            await self.clock.sleep_ms(LAYOUT_RETRY_MS)

    def _take_up(self):
        # Claims that nobody asks for have to be written again as well.
        for owner in self.owners:
            if self._believed(owner) == self.membership.me.address:
                owner.wanted.set()


def rank(members, duty):
    """Return the members' addresses, the one that a duty falls to first.

    Parameters
    ----------
    members : list of membership.Member
    duty : object
        Name or number of the duty.

    Returns
    -------
    list of str
        Draining members come last.
    """

    def weight(member):
        name = f"{duty}/{member.address}".encode()
        return member.draining, xxhash.xxh3_64_intdigest(name)

    return [member.address for member in sorted(members, key=weight)]
