"""Faults of the soak's entry hosts."""

import signal

import trio

from teaselwall.tools import soak_configuration, soak_cuts, soak_targets

RESTART_DELAY_S = 0.5
# Share of the cuts that take the paths to all servers, and how long a cut lasts.
WHOLE_SHARE = 0.7
MIN_CUT_S, MAX_CUT_S = 3.0, 9.0


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
            in_time = await host.process.stop(
                signal.SIGTERM, soak_configuration.STOP_TIMEOUT_S
            )
            if not in_time:
                self.targets.disturbances.add(host.name, soak_targets.STOP_SEEN_S)
            host.process.start()
            await trio.sleep(soak_targets.STARTUP_S)
            self.targets.in_use.discard(host)

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
