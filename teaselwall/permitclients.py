"""Requests permits for cold servers from the holders of warm-up duties."""

import math

import msgspec
import trio

from teaselwall import issuers, permits
from teaselwall.generated import messages

# Permits that are requested for a pool while no call waits for a permit.
N_INITIAL_PERMITS = 2
# Longest wait of a call for a permit before the call checks again.
MAX_WAIT_MS = 50
# Timeout of a call to a holder. A permit is requested for the time of the longest call
# plus this timeout, so that it still covers that call if the reply takes this long.
HOLDER_TIMEOUT_MS = 1_000
# An unused permit is returned after this time.
MAX_IDLE_MS = 40
# Least time between two reads of a duty's stream to find its holder.
MIN_REFRESH_MS = 500
# Assumed time of a pool's longest call until a longer call is seen.
ASSUMED_CALL_MS = 4_000
MAX_PERMITS_PER_REQUEST = 16
MAX_COLD_REPORTED = 32


class PermitDemand:
    """Demand for permits by the calls of one pool.

    Attributes
    ----------
    is_asking : bool
        Whether a request to a holder is in flight; there is at most one for a pool.
    n_waiting : int
        Calls that wait for a permit.
    call_ms : float
        Time of the longest call seen.
    n_choices : int
        Counts the choices of a data centre, to alternate between them.
    waiters : trio.lowlevel.ParkingLot
        Calls that are suspended until a permit is granted or ``MAX_WAIT_MS`` passes.
    """

    __slots__ = ("is_asking", "n_waiting", "call_ms", "n_choices", "waiters")

    def __init__(self):
        self.is_asking = False
        self.n_waiting = 0
        self.call_ms = ASSUMED_CALL_MS
        self.n_choices = 0
        self.waiters = trio.lowlevel.ParkingLot()


class PermitClient:
    """Requests permits from other hosts and returns those that are not used.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    fleet : fleet.Fleet
    peers : peers.Peers
    issuer : issuers.Issuer

    Attributes
    ----------
    stock : permits.PermitStock
    demands : dict of str to PermitDemand
        By pool.
    stale_holders : set of str
        Data centres whose known holder refused a request or did not answer it.
    refreshed_ms : dict of str to float
        Time of the last attempt to read who holds the duty, by data centre.
    """

    __slots__ = (
        "clock",
        "membership",
        "fleet",
        "peers",
        "issuer",
        "stock",
        "demands",
        "stale_holders",
        "refreshed_ms",
    )

    def __init__(self, clock, membership, fleet, peers, issuer):
        self.clock = clock
        self.membership = membership
        self.fleet = fleet
        self.peers = peers
        self.issuer = issuer
        self.stock = permits.PermitStock(clock)
        self.demands = {}
        self.stale_holders = set()
        self.refreshed_ms = {}

    def wake(self, pool):
        """Wake one of the calls that wait for a server of a pool."""
        if pool in self.demands:
            self.demands[pool].waiters.unpark()

    async def wait(self, pool, servers, call_ms):
        """Request permits; wait up to ``MAX_WAIT_MS`` if none is granted.

        Parameters
        ----------
        pool : str
        servers : list of servers.Server
            Servers that the call could use.
        call_ms : float
            Longest time that the call may last.
        """
        demand = self.demands.setdefault(pool, PermitDemand())
        demand.call_ms = max(demand.call_ms, call_ms)
        demand.n_waiting += 1
        try:
            await self._wait(demand, pool, servers)
        finally:
            demand.n_waiting -= 1

    async def _wait(self, demand, pool, servers):
        data_centre = self._choose_data_centre(demand, servers)
        asks = data_centre is not None and not demand.is_asking
        if asks and await self._ask(demand, pool, data_centre, demand.n_waiting):
            return
        with self.clock.timeout_ms(MAX_WAIT_MS):
            await demand.waiters.park()

    def _choose_data_centre(self, demand, servers):
        """Return the data centre for whose servers to request permits, or None.

        Only data centres with a server not known to be warm, and whose duty another
        host holds, are considered. If this host's own data centre is among them,
        it is chosen every second time; the other choices take all of them in turn.
        """
        names = {s.data_centre for s in servers if not s.warmth.is_warm()}
        names = sorted(name for name in names if not self.issuer.holds(name))
        if not names:
            return None
        demand.n_choices += 1
        own = self.membership.me.data_centre
        if own in names and demand.n_choices % 2:
            return own
        return names[demand.n_choices // 2 % len(names)]

    async def request_initial_permits(self, pool):
        """Request a few permits for cold servers of a pool, without a waiting call.

        While a pool has enough warm servers, no call waits for a permit, so its cold
        servers would stay cold until the warm ones are gone.
        """
        demand = self.demands.setdefault(pool, PermitDemand())
        servers = self.fleet.by_pool.get(pool, {}).values()
        data_centre = self._choose_data_centre(
            demand, filter(self.fleet.in_service, servers)
        )
        if data_centre is not None and not demand.is_asking:
            await self._ask(demand, pool, data_centre, N_INITIAL_PERMITS)

    async def _ask(self, demand, pool, data_centre, n):
        """Request permits from the holder; return how many were granted."""
        demand.is_asking = True
        try:
            address = await self._holder(data_centre)
            if not address:
                return 0
            return await self._call(address, data_centre, pool, n, demand)
        finally:
            demand.is_asking = False

    async def _call(self, address, data_centre, pool, n, demand):
        span_ms = math.ceil(demand.call_ms) + HOLDER_TIMEOUT_MS
        request = messages.PermitRequest(
            data_centre=data_centre,
            pool=pool,
            n=min(n, MAX_PERMITS_PER_REQUEST),
            call_ms=span_ms,
            cold=self._cold(pool, data_centre),
        )
        asked_ms = self.clock.now_ms()
        result = await self.peers.call(
            address, issuers.GRANT_PATH, request, HOLDER_TIMEOUT_MS
        )
        if result.is_error():
            self.stale_holders.add(data_centre)
            return 0
        granted = read_grant(result.ok)
        for permit in granted:
            self.stock.add(permits.HeldPermit(permit, data_centre, asked_ms + span_ms))
        demand.waiters.unpark(count=len(granted))
        return len(granted)

    def _cold(self, pool, data_centre):
        """Return the servers that turned cold, for the holder to record them."""
        return [
            messages.Incarnation(address=s.address, incarnation=s.incarnation)
            for s in self.fleet.by_pool.get(pool, {}).values()
            if s.data_centre == data_centre and s.warmth.went_cold
        ][:MAX_COLD_REPORTED]

    async def _holder(self, data_centre):
        """Return the address of the holder of a data centre's duty.

        The stream of the duty is read again if no holder is known, or if the known one
        is in ``stale_holders``, at most every ``MIN_REFRESH_MS``.

        Returns
        -------
        str
            Empty if no holder is known, or if it is this host.
        """
        duty = self.issuer.duties.get(data_centre)
        if duty is None:
            return ""
        now_ms = self.clock.now_ms()
        due = now_ms >= self.refreshed_ms.get(data_centre, -math.inf) + MIN_REFRESH_MS
        if due and (data_centre in self.stale_holders or not duty.holder()):
            self.refreshed_ms[data_centre] = now_ms
            if await duty.refresh():
                self.stale_holders.discard(data_centre)
        address = duty.holder()
        return "" if address == self.membership.me.address else address

    async def return_unused(self):
        """Return permits unused for ``MAX_IDLE_MS`` to the hosts that granted them."""
        by_data_centre = {}
        for held in self.stock.take_unused(MAX_IDLE_MS):
            by_data_centre.setdefault(held.data_centre, []).append(held.permit)
        for data_centre, unused in by_data_centre.items():
            address = self.issuer.duties[data_centre].holder()
            message = messages.PermitReturn(data_centre=data_centre, permits=unused)
            if address:
                await self.peers.call(
                    address, issuers.RETURN_PATH, message, HOLDER_TIMEOUT_MS
                )


def read_grant(reply):
    """Return the permits in a holder's reply; none if it cannot be decoded."""
    try:
        return msgspec.convert(reply, messages.PermitGrant).permits[
            :MAX_PERMITS_PER_REQUEST
        ]
    except msgspec.ValidationError:
        return []
