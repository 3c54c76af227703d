"""Faults of the soak's entry hosts."""

import signal
import time

import trio

from teaselwall.tools import soak_cuts, soak_losses, soak_targets

RESTART_DELAY_S = 0.5
# Share of the cuts that take the paths to all servers, and how long a cut lasts.
WHOLE_SHARE = 0.7
MIN_CUT_S, MAX_CUT_S = 3.0, 9.0
# Hosts that are stopped one after the other, and the longest pause between two of them.
N_ROLLED = 3
MAX_ROLL_GAP_S = 2.0
# Signals that reach a host while it stops, each after at most this time.
MAX_SIGNALS = 3
MAX_SIGNAL_GAP_S = 2.0


class HostFaults:
    """Faults of entry hosts.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    targets : soak_targets.Targets
    """

    def __init__(self, fleet, targets):
        self.fleet = fleet
        self.targets = targets

    def kinds(self):
        """Return the methods that play one fault each."""
        return (
            self.kill_host,
            self.stop_host,
            self.roll_hosts,
            self.pause_host,
            self.reload_host,
            self.harm_host,
            self.cut_hosts,
        )

    async def kill_host(self):
        """Kill a host and start it again."""
        host = self.targets.pick(self.fleet.hosts)
        if host is not None:
            with self.targets.disturbances.during(host.name):
                await host.process.stop(signal.SIGKILL, 1.0)
                await trio.sleep(RESTART_DELAY_S)
                host.process.start()
                await trio.sleep(soak_targets.STARTUP_S)
            self.targets.in_use.discard(host)

    async def stop_host(self):
        """Stop a host and start it again."""
        host = self.targets.pick(self.fleet.hosts)
        if host is not None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._repeat_signals, host)
                await self._stop(host)
                nursery.cancel_scope.cancel()
            host.process.start()
            await trio.sleep(soak_targets.STARTUP_S)
            self.targets.in_use.discard(host)

    async def _stop(self, host):
        self.fleet.stops.append(
            soak_losses.Stop(host.name, time.monotonic(), host.stop_timeout_s)
        )
        in_time = await host.process.stop(signal.SIGTERM, host.stop_timeout_s)
        if not in_time:
            self.targets.disturbances.add(host.name, soak_targets.STOP_SEEN_S)

    async def _repeat_signals(self, host):
        """Send a host that stops further signals to stop and to reload."""
        draws = self.targets.random
        for _ in range(draws.randint(0, MAX_SIGNALS)):
            await trio.sleep(draws.uniform(0.0, MAX_SIGNAL_GAP_S))
            host.process.send(draws.choice((signal.SIGTERM, signal.SIGHUP)))

    async def roll_hosts(self):
        """Stop some hosts one after the other; their stops overlap."""
        async with trio.open_nursery() as nursery:
            for _ in range(N_ROLLED):
                nursery.start_soon(self.stop_host)
                await trio.sleep(self.targets.random.uniform(0.0, MAX_ROLL_GAP_S))

    async def pause_host(self):
        """Suspend a host."""
        await self.targets.pause(self.targets.pick(self.fleet.hosts))

    async def reload_host(self):
        """Have a host read its settings again."""
        host = self.targets.pick(self.fleet.hosts)
        if host is not None:
            host.process.send(signal.SIGHUP)
            self.targets.in_use.discard(host)

    async def harm_host(self):
        """Harm the connections between a host and the store."""
        host = self.targets.random.choice(self.fleet.hosts)
        with self.fleet.cuts.out_of_touch.during(host.name):
            await self.targets.harm_connections(host.proxy)

    async def cut_hosts(self):
        """Take the paths from some hosts to all or some servers away for a while."""
        draws, fleet = self.targets.random, self.fleet
        hosts = draws.sample(fleet.hosts, draws.randint(1, len(fleet.hosts)))
        is_whole = draws.random() < WHOLE_SHARE
        n_servers = len(fleet.servers) if is_whole else len(fleet.servers) // 2
        servers = draws.sample(fleet.servers, n_servers)
        how = draws.choice(soak_cuts.HOWS)
        if how == "reset":
            for server in servers:
                # The proxies don't know which host a connection is from.
                self.targets.disturbances.add(server.name, 0.0)
                server.proxy.reset()
        with fleet.cuts.during(hosts, servers, how, is_whole):
            await trio.sleep(draws.uniform(MIN_CUT_S, MAX_CUT_S))
