"""Which backend servers this host can open connections to.

A failed connection alone does not tell whether the server is down or this host has
lost its path. Either way this host sends the server nothing until a connection
succeeds. Other hosts learn which pools this host can't reach at all.
"""

import logging
import random

import trio

from teaselwall import errors, events, probes, sockets

logger = logging.getLogger(__name__)

# Time between two probes of a server that could not be reached.
PROBE_INTERVAL_MS = 500.0
# Failed connections in a row, the first of which may be a request's, until a server
# counts as unreachable. A single packet may be lost.
N_FAILURES = 2
# Servers of each pool that are probed once one can't be reached. If all of them fail
# and none was reached meanwhile, the whole pool counts as unreachable.
N_SAMPLED = 3
MAX_PROBES = 32
# A server that was reached this recently needs no probe.
RECENT_MS = 500.0
# Least time between two checks for which another host's lost paths are the reason.
CHECK_INTERVAL_MS = 1000.0
# Least time between two checks for which failed connections are the reason.
MIN_PAUSE_MS = 50.0
MS_PER_S = 1000
NEVER_MS = float("-inf")


class NoPath(errors.Unavailable):
    """This host can't open connections to any server of the request's pool."""

    title = "No path to the servers"
    remedy = "Send the request again, to another entry host."


class ServerPaths:
    """Tracks the servers that this host can't open connections to.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    connect : callable, optional
        ``await connect(address)`` opens a connection; see ``sockets.connect``.
    seed : int, optional
        Seed of the choice of servers to probe.

    Attributes
    ----------
    failed : dict of (str, str) to int
        Failed connections in a row, by address and incarnation.
    failed_ms : dict of (str, str) to float
        When the last of these failed, on the clock.
    reached_ms : dict of (str, str) to float
        When the newest connection that succeeded was begun.
    reached_pool_ms : dict of str to float
        The same for any server of a pool.
    unreachable : frozenset of str
        Pools to none of whose servers a connection can be opened.
    checked_ms : float
        When servers were last probed.
    wake : trio.Event
        Set when a server may have become unreachable.
    changed : trio.Event
        Set when ``unreachable`` has changed; whoever waits for it puts a new one.
    """

    __slots__ = (
        "clock",
        "fleet",
        "connect",
        "random",
        "failed",
        "failed_ms",
        "reached_ms",
        "reached_pool_ms",
        "unreachable",
        "checked_ms",
        "wake",
        "changed",
    )

    def __init__(self, clock, fleet, connect=sockets.connect, seed=None):
        self.clock = clock
        self.fleet = fleet
        self.connect = connect
        self.random = random.Random(seed)
        self.failed = {}
        self.failed_ms = {}
        self.reached_ms = {}
        self.reached_pool_ms = {}
        self.unreachable = frozenset()
        self.checked_ms = NEVER_MS
        self.wake = trio.Event()
        self.changed = trio.Event()

    def has_path(self, server):
        """Return whether a server may get new work; a filter of ``fleet.Fleet``."""
        if server.pool in self.unreachable:
            return False
        return not self.failed or not self.is_lost(server)

    def is_lost(self, server):
        """Return whether connections to a server have failed repeatedly."""
        return self.failed.get(_key(server), 0) >= N_FAILURES

    def record_attempt(self, server, error, received):
        """Record what an attempt shows about the path to its server.

        Parameters
        ----------
        server : servers.Server
        error : errors.Error or None
        received : progress.AttemptProgress
        """
        if received.head_ms is not None:
            self._record_reached(server, received.started_ms)
        elif isinstance(error, errors.ConnectFailed):
            self._record_failed_call(server, received.started_ms)

    def record_call(self, server, result, started_ms):
        """Record what a call shows about the path to its server.

        Parameters
        ----------
        server : servers.Server
        result : expression.Result
        started_ms : float
            When the call began, on the clock.
        """
        if result.is_ok() or isinstance(result.error, errors.ServerFailed):
            self._record_reached(server, started_ms)
        elif isinstance(result.error, errors.ConnectFailed):
            self._record_failed_call(server, started_ms)

    def _record_failed_call(self, server, started_ms):
        """Record a failed connection and probe, unless a newer one has succeeded."""
        if self.reached_ms.get(_key(server), NEVER_MS) < started_ms:
            self._record_failed(server)
            self.wake.set()

    def _record_reached(self, server, started_ms):
        key = _key(server)
        if self.failed_ms.get(key, NEVER_MS) > started_ms:
            # An older connection may live on while new ones fail.
            return
        self.reached_ms[key] = started_ms
        self.reached_pool_ms[server.pool] = max(
            started_ms, self.reached_pool_ms.get(server.pool, NEVER_MS)
        )
        self.failed_ms.pop(key, None)
        if self.failed.pop(key, 0) >= N_FAILURES:
            self.fleet.ejections.readmit_reached(server)
            _log_path(server, "server_path_back")

    def _record_failed(self, server):
        key = _key(server)
        self.failed[key] = self.failed.get(key, 0) + 1
        self.failed_ms[key] = self.clock.now_ms()
        if self.failed[key] == N_FAILURES:
            _log_path(server, "server_path_lost")

    def check_soon(self):
        """Probe a few servers, as another host has lost its paths."""
        if self.clock.now_ms() - self.checked_ms >= CHECK_INTERVAL_MS:
            self.wake.set()

    async def run(self):
        """Probe servers while some can't be reached, until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            await self._check()
            while self.failed:
                await self.clock.sleep_ms(MIN_PAUSE_MS)
                with trio.move_on_after(PROBE_INTERVAL_MS / MS_PER_S):
                    await self.wake.wait()
                self.wake = trio.Event()
                await self._check()

    async def tell_changes(self, membership, gossip):
        """Tell the other hosts at once which pools this one doesn't reach.

        Parameters
        ----------
        membership : membership.Membership
        gossip : datagrams.DatagramGossip
        """
        while True:
            await self.changed.wait()
            self.changed = trio.Event()
            membership.me.unreachable = sorted(self.unreachable)
            membership.advance_heartbeat()
            await gossip.tell_all()

    async def _check(self):
        """Probe servers that can't be reached, and a few others of each pool."""
        self.checked_ms = self.clock.now_ms()
        servers = self._to_probe()
        while True:
            async with trio.open_nursery() as nursery:
                for server in servers:
                    nursery.start_soon(self._probe, server)
            self._forget_removed()
            self._review()
            servers = [s for s in servers if self._is_doubtful(s)]
            if not servers:
                return

    def _is_doubtful(self, server):
        """Return whether a further connection decides whether a server is lost."""
        if server.pool in self.unreachable or not self.fleet.in_service(server):
            return False
        return 0 < self.failed.get(_key(server), 0) < N_FAILURES

    def _to_probe(self):
        """Return the servers to probe, in turn of the pools, which come in any order.

        Beside servers that can't be reached, others of their pool are probed even if
        they were reached just before, as the path may have been lost since.
        """
        since_ms = self.clock.now_ms() - RECENT_MS
        found = []
        for pool in self.fleet.by_pool:
            serving = self.fleet.serving(pool)
            self.random.shuffle(serving)
            failed = [s for s in serving if _key(s) in self.failed]
            others = [
                s
                for s in serving
                if _key(s) not in self.failed
                and (failed or self.reached_ms.get(_key(s), NEVER_MS) < since_ms)
            ]
            found.append([*others[:N_SAMPLED], *failed])
        self.random.shuffle(found)
        longest = max(map(len, found), default=0)
        by_turn = [s[n] for n in range(longest) for s in found if n < len(s)]
        return by_turn[:MAX_PROBES]

    async def _probe(self, server):
        started_ms = self.clock.now_ms()
        if await probes.accepts_connections(self.connect, server.address):
            self._record_reached(server, started_ms)
        else:
            self._record_failed(server)

    def _forget_removed(self):
        """Drop the servers that have left the list or have started again."""
        known = {
            _key(server)
            for servers in self.fleet.by_pool.values()
            for server in servers.values()
        }
        for table in (self.failed, self.failed_ms, self.reached_ms):
            for key in [key for key in table if key not in known]:
                del table[key]

    def _review(self):
        unreachable = frozenset(
            pool for pool in self.fleet.by_pool if self._is_unreachable(pool)
        )
        if unreachable != self.unreachable:
            events.log(
                logger,
                logging.WARNING,
                "unreachable_pools",
                pools=sorted(unreachable),
                before=sorted(self.unreachable),
                n_lost=sum(n >= N_FAILURES for n in self.failed.values()),
                age_ms=round(self.clock.now_ms() - self.checked_ms),
            )
            self.unreachable = unreachable
            self.changed.set()

    def _is_unreachable(self, pool):
        """Return whether all probed servers of a pool failed, and none was reached.

        Failed connections to ``N_SAMPLED`` servers are enough, as one to each of them
        says as much as several to one.
        """
        serving = self.fleet.serving(pool)
        n_failed = sum(_key(server) in self.failed for server in serving)
        if not serving or n_failed < min(len(serving), N_SAMPLED):
            return False
        if n_failed < N_SAMPLED and not all(map(self.is_lost, serving)):
            return False
        reached_ms = self.reached_pool_ms.get(pool, NEVER_MS)
        return n_failed == len(serving) or reached_ms < self.checked_ms


def _key(server):
    return server.address, server.incarnation


def _log_path(server, event):
    events.log(
        logger,
        logging.INFO,
        event,
        server=server.address,
        id=server.incarnation,
        pool=server.pool,
    )
