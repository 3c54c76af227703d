"""Sending work to cold servers within what they bear, over all entry hosts.

Per data centre one host holds the duty ``warmup-<data centre>`` and grants permits,
each a lease on one slot of a cold server. A server that is known to be warm needs
none.
"""

import trio
import xxhash

from teaselwall import errors, gates, permits

TICK_MS = 200
GIVE_BACK_MS = 20
WATCH_MS = 1_000
INITIAL_PERMITS_INTERVAL_MS = 1_000
RETURN_SPREAD_MS = 3_000


class Warmups(gates.Gate):
    """Gate that knows cold servers.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    fleet : fleet.Fleet
    issuer : issuers.Issuer
    permit_client : permitclients.PermitClient
    cold_reports : coldreports.ColdReports
    """

    __slots__ = (
        "clock",
        "membership",
        "fleet",
        "issuer",
        "permit_client",
        "cold_reports",
        "pools_lacking_permits",
    )

    def __init__(self, clock, membership, fleet, issuer, permit_client, cold_reports):
        self.clock = clock
        self.membership = membership
        self.fleet = fleet
        self.issuer = issuer
        self.permit_client = permit_client
        self.cold_reports = cold_reports
        self.pools_lacking_permits = set()

    def may_get_work(self, server):
        """Return whether one more call is within what a server bears.

        Parameters
        ----------
        server : servers.Server
        """
        self.cold_reports.update(server)
        if server.warmth.replaced:
            return False
        if server.warmth.is_warm():
            return server.warmth.has_capacity(server.in_flight)
        self.pools_lacking_permits.add(server.pool)
        if self.issuer.holds(server.data_centre):
            return self.issuer.n_free(server) > 0
        return self.permit_client.stock.has(server)

    def begin(self, server, call_ms):
        """Begin a call; see ``gates.Gate.begin``."""
        if not self.fleet.is_available(server):
            return None
        if server.warmth.is_warm():
            return gates.Ticket(server)
        if self.issuer.holds(server.data_centre):
            permit = self.issuer.begin(server, call_ms)
        else:
            permit = self.permit_client.stock.take(server, call_ms)
        return None if permit is None else gates.Ticket(server, permit)

    def end(self, ticket, error=None, deadline=None):
        """End a call; see ``gates.Gate.end``.

        The slot stays taken until its permit ends where the server may still work
        on the call.
        """
        if may_have_restarted(error, deadline):
            ticket.server.warmth.doubt()
        permit = ticket.permit
        if permit is None or not has_ended(error):
            return
        if isinstance(permit, permits.HeldPermit):
            self.permit_client.stock.add(permit)
        else:
            self.issuer.ledger.close(permit)
        self.permit_client.wake(ticket.server.pool)

    async def wait(self, pool, tried, call_ms):
        """Wait a little for room or a permit; see ``gates.Gate.wait``."""
        servers = [
            server
            for server in self.fleet.by_pool.get(pool, {}).values()
            if server.address not in tried and self.fleet.in_service(server)
        ]
        if servers:
            await self.permit_client.wait(pool, servers, call_ms)
        return bool(servers)

    async def run(self):
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cold_reports.follow)
            nursery.start_soon(
                self._every, INITIAL_PERMITS_INTERVAL_MS, self._request_initial_permits
            )
            nursery.start_soon(self._every, TICK_MS, self.cold_reports.write)
            nursery.start_soon(
                self._every, GIVE_BACK_MS, self.permit_client.give_back_unused
            )
            while True:
                self.watch(nursery)
                self.issuer.ledger.sweep()
                seen = bool(self.issuer.duties)
                await self.clock.sleep_ms(WATCH_MS if seen else TICK_MS)

    async def _every(self, interval_ms, act):
        while True:
            await act()
            await self.clock.sleep_ms(interval_ms)

    async def _request_initial_permits(self):
        pools_lacking_permits, self.pools_lacking_permits = (
            self.pools_lacking_permits,
            set(),
        )
        for pool in pools_lacking_permits:
            await self.permit_client.request_initial_permits(pool)

    def watch(self, nursery):
        """Start the duties of new data centres; note which are out.

        Parameters
        ----------
        nursery : trio.Nursery
            Runs the duties.
        """
        for servers in self.fleet.by_pool.values():
            for server in servers.values():
                if server.data_centre not in self.issuer.duties:
                    duty = self.issuer.add_duty(server.data_centre)
                    nursery.start_soon(duty.run)
                if server.data_centre in self.fleet.state.data_centres_out:
                    server.warmth.mark_cold(self._delay_ms(server))

    def _delay_ms(self, server):
        """Return this host's part of the time over which hosts come back."""
        name = f"{self.membership.me.nonce}/{server.address}"
        return xxhash.xxh3_64_intdigest(name.encode()) % RETURN_SPREAD_MS


def may_have_restarted(error, deadline):
    """Return whether an error says that the server may have restarted.

    A connection that was refused, reset or silent does; a refusal by the server, or
    a deadline that passed, does not.
    """
    if not isinstance(error, errors.TransportError):
        return False
    if isinstance(error, errors.ServerFailed):
        return False
    return deadline is None or not deadline.passed()


def has_ended(error):
    """Return whether a call's end says that the server no longer works on it."""
    return error is None or error.outcome is errors.Outcome.NOT_RUN
