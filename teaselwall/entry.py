"""Assembles the components of an entry host that forwards callers' requests."""

import functools
import secrets
import time as system_time

import trio

from teaselwall import (
    announcements,
    brittleservers,
    clock,
    coldstarts,
    control,
    coordination,
    crashguard,
    crashverifiers,
    datacentregroups,
    datagrams,
    enginechoices,
    fleet,
    forwarders,
    gatewayviews,
    handovers,
    httpclient,
    keyedtopics,
    membership,
    metrics,
    operatorstate,
    peers,
    pickers,
    prefixes,
    probes,
    quarantinearchive,
    requestmemory,
    retries,
    rolloutparts,
    serverattempts,
    serverchoices,
    serverlimits,
    serverregistry,
    sharedmachines,
    sharedreads,
    stagework,
    stopadmission,
    streamarchive,
    streamversions,
    traces,
)

# Four times between two readiness checks, which are a second apart.
UPDATE_INTERVAL_MS = 250.0
# Access keys are accepted up to an age of this share of ``revocation_ms``, the time
# within which a removed key must be refused. The rest of that time covers reading a
# request.
KEY_AGE_SHARE = 0.94
# Callers keep a dead host's address for this long, some callers three times as long.
MAX_ANSWER_KEPT_S = 1.0


class Entry:
    """The components of one entry host on a platform.

    Parameters
    ----------
    settings : generated.gateway.GatewaySettings
    platform : platforms.Platform
        Adapter to the platform's store, protocol and names.
    time : clock.Clock, optional
        By default the machine's clock, which also counts time while suspended.

    Attributes
    ----------
    request_memory : requestmemory.RequestMemory
        What this host holds of requests and their pieces.
    control : control.Control
        ASGI application for peers and operators.
    shared_reads : sharedreads.SharedReads
    orders : keyedtopics.TopicFollower
        Follows the operators' orders: the configuration and data centres taken out.
    servers : keyedtopics.TopicFollower
        Follows the servers' registrations.
    stage_work : stagework.StageWork
        Stage calls for which this host is the coordinator.
    crash_guard : crashguard.CrashGuard
    server_limits : serverlimits.ServerLimits
    stop : stops.Stop or None
        None until the listeners run.
    stop_admission : stopadmission.StopAdmission
    announcements : announcements.Announcements
    handovers : handovers.Handovers
    rollout_parts : rolloutparts.RolloutParts or None
    """

    __slots__ = (
        "settings",
        "platform",
        "protocol",
        "clock",
        "transport",
        "metrics",
        "request_memory",
        "tracer",
        "control",
        "peers",
        "membership",
        "gossip",
        "store",
        "shared_reads",
        "operator_state",
        "orders",
        "fleet",
        "cold_starts",
        "server_limits",
        "server_registry",
        "servers",
        "server_choices",
        "stream_versions",
        "forwarder",
        "data_centre_groups",
        "stage_work",
        "coordination",
        "crash_guard",
        "stop",
        "stop_admission",
        "announcements",
        "handovers",
        "rollout_parts",
    )

    def __init__(self, settings, platform, time=None):
        self.settings = settings
        self.platform = platform
        self.protocol = platform.protocol
        self.clock = time or clock.BootClock()
        self.transport = httpclient.Client(self.clock)
        self.metrics = metrics.Metrics()
        self.request_memory = requestmemory.of(settings, self.metrics)
        self.tracer = traces.Tracer(settings.traces, settings.host.name)
        self.control = control.Control(settings.access)
        self.peers = peers.Peers(self.transport, settings.access.peer_key)
        self.stop = None
        self._add_membership()
        self._add_store()
        self._add_servers()
        self._add_stages()
        self._add_crash_guard()
        self._add_forwarder()
        self._add_handovers()
        self.rollout_parts = rolloutparts.parts_of(self)
        gatewayviews.GatewayViews(self).register(self.control)

    def _add_membership(self):
        settings = self.settings
        self.membership = membership.Membership(
            self.clock,
            settings,
            new_nonce(),
            settings.membership.summary_interval_ms,
        )
        self.membership.me.draining = True
        self.membership.me.n_cores = settings.host.cpu_share * settings.host.cpu_speed
        self.gossip = datagrams.DatagramGossip(self.clock, self.membership)
        self.stop_admission = stopadmission.StopAdmission(self.clock, self.membership)

    def _add_store(self):
        settings = self.settings
        self.store = self.platform.store(self.transport)
        self.shared_reads = sharedreads.SharedReads(
            self.clock, self.store, self.membership, self.peers
        )
        self.shared_reads.register(self.control)
        self.operator_state = operatorstate.OperatorState(
            self.platform.decode_table,
            self.platform.decode_data_centre_out,
            self.platform.table_key,
        )
        self.orders = self.follow(
            self.platform.orders_topic,
            self.operator_state,
            settings.store.watch_ms,
            0.0,
        )
        self.announcements = announcements.Announcements(
            self.clock,
            self.store,
            self.membership,
            self.gossip,
            self.platform.members_topic,
            settings.host.name,
        )
        self.orders.on_restore = self.announcements.repeat

    def follow(self, topic, listener, wait_ms, pause_ms):
        """Return a new ``keyedtopics.TopicFollower`` of a topic."""
        follower = keyedtopics.TopicFollower(
            self.clock, self.shared_reads, topic, listener, wait_ms, pause_ms
        )
        self.shared_reads.followers[topic] = follower
        return follower

    def _add_servers(self):
        settings, state = self.settings, self.operator_state
        self.fleet = fleet.Fleet(self.clock, None, state, 0, 0)
        self.cold_starts = coldstarts.ColdStarts(
            self.clock, self.membership, state.pool
        )
        record_return = self.cold_starts.record_data_centre_return
        state.on_data_centre_return = functools.partial(record_return, self.fleet)
        self.fleet.filters.append(self.cold_starts.has_capacity)
        self.server_limits = serverlimits.ServerLimits(
            self.clock, self.membership, self.gossip, self.n_hosts
        )
        self.fleet.limits = self.server_limits
        self.fleet.filters.append(self.fleet.paths.has_path)
        self.fleet.brittle = brittleservers.BrittleServers(
            self.clock, self.membership, self.fleet, state, self.gossip
        )
        self.fleet.filters.append(self.fleet.brittle.allows)
        self.gossip.fleet = self.fleet
        self.gossip.server_limits = self.server_limits
        decode = self.platform.decode_registration
        registry = self.server_registry = serverregistry.ServerRegistry(
            self.clock, self.fleet, decode, self.cold_starts, state.may_have_pool
        )
        registry.grace.catch_up_ms = settings.store.catch_up_ms
        interval_ms = settings.store.listing_interval_ms
        self.servers = self.follow(
            self.platform.servers_topic, registry, 0.0, interval_ms
        )
        self.servers.due_ms = registry.read_due_ms
        self.server_choices = serverchoices.ServerChoices(
            self.fleet,
            pickers.ExpectedTimePicker(settings.host.data_centre, prefixes.Prefixes()),
            enginechoices.EngineChoices(),
            self.cold_starts,
            settings.regions,
            self.n_hosts,
            self.metrics,
        )

    def _add_stages(self):
        self.data_centre_groups = datacentregroups.DataCentreGroups(
            self.clock, self.fleet, self.operator_state.stage_pools
        )
        home = self.settings.host.data_centre
        shared_machines = sharedmachines.SharedMachines(
            self.clock, self.fleet, self.settings.stages.share_room
        )
        self.stage_work = stagework.StageWork(
            self.clock,
            self.fleet,
            self.platform.stage_client(self.transport, self.fleet.record_notice),
            self.operator_state.pool,
            self.metrics,
            lambda pool: self.data_centre_groups.servers(pool, home),
            shared_machines.found,
            self.request_memory,
        )
        self.coordination = coordination.Coordination(
            self.clock,
            self.membership,
            self.gossip,
            self.peers,
            self.stage_work,
            self.data_centre_groups,
        )
        self.coordination.register(self.control)

    def _add_crash_guard(self):
        archive = quarantinearchive.QuarantineArchive(
            self.clock, self.store, self.platform.quarantine_topic
        )
        self.crash_guard = crashguard.CrashGuard(
            self.clock,
            self.membership,
            self.gossip,
            crashverifiers.CrashVerifier(
                self.clock, probes.ConnectProber(), self.fleet
            ),
            archive,
        )
        self.gossip.crash_guard = self.crash_guard

    def _add_forwarder(self):
        self.stream_versions = streamversions.StreamVersions(
            self.clock,
            self.fleet,
            streamarchive.origins_of(self),
            self.server_registry,
            self.servers,
            self.orders,
            self.operator_state,
            self.metrics,
            functools.partial(self.platform.read_start, self.transport),
        )
        attempts = serverattempts.ServerAttempts(
            self.clock,
            self.transport,
            self.protocol,
            self.server_choices,
            self.tracer,
            self.crash_guard,
            self.stream_versions,
            self.stop_admission.answer_times,
        )
        self.forwarder = forwarders.Forwarder(
            self.clock,
            attempts,
            self.server_choices,
            retries.RetryWindow(self.clock, self.settings.bounds, self.n_hosts),
            self.metrics,
            self.crash_guard,
            self.stream_versions,
            self.stop_admission,
        )

    def _add_handovers(self):
        self.handovers = handovers.Handovers(
            self.clock,
            self.transport,
            self.protocol,
            self.fleet.paths,
            self.membership,
            self.gossip,
            self.settings.access.peer_key,
            self.settings.regions,
            self.metrics,
        )

    def n_hosts(self):
        """Return the number of entry hosts, at least 1."""
        return max(1, len(self.membership.alive()), self.membership.n_hosts())

    def configuration_age_ms(self):
        """Return the age of the operators' orders known here, in whole ms."""
        return clock.rounded_age_ms(self.orders.age_ms())

    def has_orders(self):
        """Return whether this host has ever known the operators' newest orders."""
        is_current = self.orders.age_ms() < float("inf")
        return is_current and self.operator_state.table is not None

    def servers_age_ms(self):
        """Return the age of the server registrations known here, in whole ms."""
        return clock.rounded_age_ms(self.servers.age_ms())

    def keys_current(self):
        """Return whether this host's access keys are recent enough to be accepted."""
        return self.orders.age_ms() < KEY_AGE_SHARE * self.settings.bounds.revocation_ms

    def answer_kept_s(self):
        """Return how long callers may keep an answer of the directory, in s."""
        return min(MAX_ANSWER_KEPT_S, self.settings.bounds.answer_kept_s)

    def stopping(self):
        """Return whether a stop was requested, so that callers must leave."""
        return self.stop is not None and self.stop.requested.is_set()

    def ready(self):
        """Return whether the directory may send callers to this host."""
        if self.stopping() or not (
            self.has_orders() and self.server_registry.is_loaded
        ):
            return False
        return not self.operator_state.table.requires_keys or self.keys_current()

    async def run(self):
        """Run the background tasks until cancelled."""
        parts = [self.gossip, self.orders, self.servers, self.stage_work]
        parts += [self.coordination, self.stream_versions, self.crash_guard]
        parts += [self.server_limits, self.announcements, self.fleet.paths]
        parts += [self.fleet.brittle, self.stream_versions.origins.archive]
        parts += [self.rollout_parts] if self.rollout_parts is not None else []
        async with trio.open_nursery() as nursery:
            for part in parts:
                nursery.start_soon(part.run)
            nursery.start_soon(self._update_derived_state)
            paths = self.fleet.paths
            nursery.start_soon(paths.tell_changes, self.membership, self.gossip)

    async def _update_derived_state(self):
        """Periodically update the state that changes with time alone."""
        while True:
            self.membership.me.draining = not self.ready()
            self.membership.me.backlog_ms = round(self.stage_work.room.longest_ms())
            self.server_registry.remove_missing(self.servers.current_as_of_ms)
            self.server_registry.publish_if_contested()
            self.server_registry.history.check_gap(self.servers.age_ms())
            for server in self.fleet.servers_in_use():
                self.fleet.ejections.readmit_if_due(server)
            self.server_choices.engines.forget(
                s.incarnation for s in self.fleet.servers_in_use()
            )
            await self.clock.sleep_ms(UPDATE_INTERVAL_MS)


def new_nonce():
    """Return a random nonce; nonces sort by the start time of their process."""
    return f"{int(system_time.time() * 1000):012x}{secrets.token_hex(3)}"
