"""Faults of the soak's entry hosts."""

import signal

import trio

from teaselwall.tools import soak_configuration, soak_targets

RESTART_DELAY_S = 0.5


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
        await self.targets.harm_connections(
            self.targets.random.choice(self.fleet.hosts).proxy
        )
