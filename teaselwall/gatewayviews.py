"""Shows operators the present state of an entry host on a platform."""

import statistics

from teaselwall import control, coordination, errors
from teaselwall.generated import messages

PATH = "/operator/gateway"
QUARANTINE_PATH = "/operator/quarantine/list"
LIFT_PATH = "/operator/quarantine/lift"
# The busiest tenth of a pool's servers is compared with all.
BUSIEST_DIVISOR = 10


class GatewayViews:
    """Answers operators with the present state of one entry host.

    Parameters
    ----------
    entry : entry.Entry
    """

    __slots__ = ("entry",)

    def __init__(self, entry):
        self.entry = entry

    def register(self, interface):
        """Register the view's handler on the control interface.

        Parameters
        ----------
        interface : control.Control
        """
        interface.add(PATH, self._handle)
        interface.add(QUARANTINE_PATH, self._handle_quarantine)
        interface.add(LIFT_PATH, self._handle_lift)

    async def _handle(self, message):
        return self.view()

    async def _handle_quarantine(self, message):
        return messages.QuarantineListing(entries=self.quarantined())

    async def _handle_lift(self, message):
        suspect = control.read(message, messages.QuarantineLift).content
        guard = self.entry.crash_guard
        if suspect not in guard.quarantine.entries:
            remedy = "Name the 'content' as 'teaselwall quarantine list' shows it."
            raise errors.NotFound(f"{suspect} is not in quarantine.", remedy=remedy)
        guard.lift(suspect, "operator", is_operator=True)
        return messages.QuarantineListing(entries=self.quarantined())

    def quarantined(self):
        """Return the refused suspects as a list of ``messages.QuarantineEntry``."""
        now_ms = self.entry.clock.now_ms()
        return [
            messages.QuarantineEntry(
                content=entry.suspect,
                organisation="",
                service=entry.suspect.partition("/")[0],
                n_crashes=entry.n_events,
                refused=True,
                age_ms=round(now_ms - entry.added_ms),
            )
            for entry in self.entry.crash_guard.quarantine.entries.values()
        ]

    def view(self):
        """Return the view as ``messages.GatewayView``."""
        entry = self.entry
        table = entry.operator_state.table
        reader = entry.shared_reads.reader()
        return messages.GatewayView(
            host=entry.settings.host.name,
            ready=entry.ready(),
            configuration=table.version if table is not None else -1,
            configuration_age_ms=entry.configuration_age_ms(),
            servers_age_ms=entry.servers_age_ms(),
            reader=reader.address if reader is not None else "",
            data_centres_out=sorted(entry.operator_state.data_centres_out),
            quarantined=self.quarantined(),
            n_in_flight=entry.membership.me.n_requests,
            members=[self._member(member) for member in entry.membership.alive()],
            coordinators={
                coordination.group_name(group): entry.coordination.coordinator(
                    group
                ).address
                for group in entry.data_centre_groups.groups()
            },
            pools=[
                pool_view(pool, entry.fleet.serving(pool))
                for pool in sorted(entry.fleet.by_pool)
            ],
            servers=[self._server(server) for server in self._servers()],
            waiting_pieces={
                pool: len(queue.pieces)
                for pool, queue in entry.stage_work.queues.items()
            },
            retries=entry.forwarder.retries.counts(),
        )

    def _member(self, member):
        age_ms = self.entry.clock.now_ms() - member.seen_ms
        return messages.MemberView(
            address=member.address,
            data_centre=member.data_centre,
            age_ms=round(age_ms),
            draining=member.draining,
            n_cores=member.n_cores,
            n_requests=member.n_requests,
            backlog_ms=member.backlog_ms,
            unreachable=member.unreachable,
        )

    def _servers(self):
        pools = self.entry.fleet.by_pool
        return [s for pool in sorted(pools) for s in pools[pool].values()]

    def _server(self, server):
        return messages.ServerView(
            address=server.address,
            pool=server.pool,
            data_centre=server.data_centre,
            incarnation=server.incarnation,
            n_in_flight=server.in_flight,
            load=round(server.load(), 1),
            n_places=server.report.capacity if server.report is not None else 0,
            load_age_ms=_age_ms([server]),
            slowness=(
                round(server.slowness.factor(), 2) if server.slowness.is_stated else 0
            ),
            left_out=self._exclusion_reason(server),
        )

    def _exclusion_reason(self, server):
        """Return why this host sends a server no new work; empty if it does."""
        fleet = self.entry.fleet
        if server.leaving:
            return "leaving"
        if server.data_centre in self.entry.operator_state.data_centres_out:
            return "its data centre is out"
        parts = self.entry.rollout_parts
        if parts is not None and not parts.rollouts.allows(server):
            return "its version gets nothing in a roll-out"
        if not fleet.paths.has_path(server):
            return "this host can't open connections to it"
        if not fleet.brittle.allows(server):
            return "brittle: this host's slots are used, or it has rejected too much"
        if server.ejected:
            left_ms = server.eject_until_ms - self.entry.clock.now_ms()
            return f"failed {server.n_failures} times, back in {max(0, left_ms):.0f} ms"
        if server.on_probation and server.in_flight:
            return "on trial with one call"
        if not self.entry.cold_starts.has_capacity(server):
            return "cold, this host's share is used"
        if fleet.limits.wait_ms(server):
            return "names a limit that is reached"
        return "" if fleet.is_available(server) else "replaced"


def pool_view(pool, servers):
    """Return how evenly a pool's servers are used, as ``messages.PoolView``.

    Parameters
    ----------
    pool : str
    servers : list of servers.Server
        Those in service.
    """
    told = [server for server in servers if server.report is not None]
    shares = sorted(s.load() / s.capacity() for s in told)
    n_places = sum(server.capacity() for server in told)
    n_used = sum(server.load() for server in told)
    n_busiest = max(1, len(shares) // BUSIEST_DIVISOR)
    busiest_ratio = 0.0
    if n_used:
        busiest = statistics.mean(shares[-n_busiest:])
        busiest_ratio = busiest / statistics.mean(shares)
    return messages.PoolView(
        pool=pool,
        n_told=len(told),
        n_servers=len(servers),
        utilisation=round(n_used / n_places, 3) if n_places else 0.0,
        busiest_ratio=round(busiest_ratio, 2),
        n_full=sum(share >= 1.0 for share in shares),
        load_age_ms=_age_ms(told),
    )


def _age_ms(servers):
    """Return the median age of the servers' reports, in whole ms; -1 without any."""
    ages_ms = [s.report_age_ms() for s in servers if s.report is not None]
    return round(statistics.median(ages_ms)) if ages_ms else -1
