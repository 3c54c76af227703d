"""Limits the calls that all entry hosts together send to a cold server.

For each data centre, one host holds the duty ``warmup-<data centre>`` and grants
permits. A permit is a lease on one slot of a cold server. A call to a server that is
known to be warm needs no permit.
"""

import trio
import xxhash

from teaselwall import errors, gates, permits

# Interval between writes of cold reports, and between checks of the fleet until it has
# a server.
REPORT_INTERVAL_MS = 200
# Interval between returns of unused permits.
RETURN_INTERVAL_MS = 20
# Interval between checks for new data centres and for data centres taken out.
WATCH_INTERVAL_MS = 1_000
INITIAL_PERMITS_INTERVAL_MS = 1_000
# Hosts resume calls to a data centre that is back in service at times spread over
# this period.
RESUME_SPREAD_MS = 3_000


class Warmups(gates.Gate):
    """Gate that admits calls to cold servers by permit only.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    fleet : fleet.Fleet
    issuer : issuers.Issuer
    permit_client : permitclients.PermitClient
    cold_reports : coldreports.ColdReports

    Attributes
    ----------
    pools_lacking_permits : set of str
        Pools for which ``may_get_work`` saw a server not known to be warm since the
        last request for initial permits.
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
        """Return whether a server may get one more call from this host.

        A filter of the fleet.

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
        """Admit a call, with a permit if need be; see ``gates.Gate.begin``."""
        if not self.fleet.is_available(server):
            return None
        if server.warmth.is_warm():
            return gates.AdmittedCall(server)
        if self.issuer.holds(server.data_centre):
            permit = self.issuer.begin(server, call_ms)
        else:
            permit = self.permit_client.stock.take(server, call_ms)
        return None if permit is None else gates.AdmittedCall(server, permit)

    def end(self, call, error=None, deadline=None):
        """Record the end of a call; see ``gates.Gate.end``.

        If the server may still work on the call, its slot stays taken until the permit
        expires.
        """
        if may_have_restarted(error, deadline):
            call.server.warmth.invalidate()
        permit = call.permit
        if permit is None or not has_ended(error):
            return
        if isinstance(permit, permits.HeldPermit):
            self.permit_client.stock.add(permit)
        else:
            self.issuer.ledger.close(permit)
        self.permit_client.wake(call.server.pool)

    async def wait(self, pool, tried, call_ms):
        """Wait a short time for capacity or a permit; see ``gates.Gate.wait``."""
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
            nursery.start_soon(self._every, REPORT_INTERVAL_MS, self.cold_reports.write)
            nursery.start_soon(
                self._every, RETURN_INTERVAL_MS, self.permit_client.return_unused
            )
            while True:
                self.watch(nursery)
                self.issuer.ledger.sweep()
                has_duties = bool(self.issuer.duties)
                await self.clock.sleep_ms(
                    WATCH_INTERVAL_MS if has_duties else REPORT_INTERVAL_MS
                )

    async def _every(self, interval_ms, function):
        while True:
            await function()
            await self.clock.sleep_ms(interval_ms)

    async def _request_initial_permits(self):
        pools_lacking_permits, self.pools_lacking_permits = (
            self.pools_lacking_permits,
            set(),
        )
        for pool in pools_lacking_permits:
            await self.permit_client.request_initial_permits(pool)

    def watch(self, nursery):
        """Start the duties of new data centres; mark servers cold in those taken out.

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
        """Return this host's delay, by hash, before it resumes calls to a server."""
        name = f"{self.membership.me.nonce}/{server.address}"
        return xxhash.xxh3_64_intdigest(name.encode()) % RESUME_SPREAD_MS


def may_have_restarted(error, deadline):
    """Return whether a call's error suggests that the server has restarted.

    This holds for a connection that was refused, reset or silent. It doesn't hold for
    a refusal by the server itself, or if the request's deadline passed.
    """
    if not isinstance(error, errors.TransportError):
        return False
    if isinstance(error, errors.ServerFailed):
        return False
    return deadline is None or not deadline.passed()


def has_ended(error):
    """Return whether the server is known to be no longer working on a call."""
    return error is None or error.outcome is errors.Outcome.NOT_RUN
