"""Asking every entry host which configuration it has in force."""

import trio

from teaselwall import errors
from teaselwall.generated import messages

MAX_ASKED_AT_ONCE = 64
TIMEOUT_MS = 1000
RETRY_MS = 100
LIMIT_MS = 4000
NO_ANSWER = -1
PATH = "/peer/configuration/version"


class Confirmer:
    """Waits until all members have applied a version.

    Parameters
    ----------
    clock : clock.Clock
    follower : followers.Follower
    """

    __slots__ = ("clock", "follower")

    def __init__(self, clock, follower):
        self.clock = clock
        self.follower = follower

    async def confirm(self, version, limit_ms=LIMIT_MS):
        """Ask the members until all have a version, or the limit has passed.

        Asking makes a host read the log at once, so one whose long poll went silent
        gets there too.

        Returns
        -------
        list of messages.HostInForce
            All members, those that lag among them.
        """
        hosts = {}
        with self.clock.timeout_ms(limit_ms):
            while True:
                await self._ask_lagging(version, hosts)
                if not lagging(hosts.values(), version):
                    break
                await self.clock.sleep_ms(RETRY_MS)
        return [hosts[address] for address in sorted(hosts)]

    async def _ask_lagging(self, version, hosts):
        members = self.follower.membership.alive()
        for member in members:
            hosts.setdefault(
                member.address,
                messages.HostInForce(
                    address=member.address,
                    data_centre=member.data_centre,
                    version=NO_ANSWER,
                ),
            )
        _drop_departed(hosts, members)
        limiter = trio.CapacityLimiter(MAX_ASKED_AT_ONCE)
        async with trio.open_nursery() as nursery:
            for host in lagging(hosts.values(), version):
                nursery.start_soon(self._ask, host, version, limiter)

    async def _ask(self, host, version, limiter):
        if host.address == self.follower.membership.me.address:
            host.version = self.follower.state.version
            return
        async with limiter:
            applied = await self.follower.ask(host.address, PATH, version, TIMEOUT_MS)
        if applied is not None:
            host.version = applied.version


def lagging(hosts, version):
    """Return the hosts that have not applied a version."""
    return [host for host in hosts if host.version < version]


def _drop_departed(hosts, members):
    """Forget hosts that are members no longer."""
    alive = {member.address for member in members}
    for address in hosts.keys() - alive:
        del hosts[address]


def reply(outcome, version, hosts):
    """Return the ``messages.OperatorReply`` that sums up where a version is."""
    behind = lagging(hosts, version)
    return messages.OperatorReply(
        outcome=outcome,
        version=version,
        n_hosts=len(hosts),
        n_in_force=len(hosts) - len(behind),
        lagging=behind,
    )


def lost(verdict):
    """Return the error that tells an operator whose change won."""
    winner = f"{verdict.author or 'somebody'} with version {verdict.version}"
    return errors.Conflict(
        f"Another change was accepted first: by {winner} ({verdict.change}).",
        remedy=(
            "Look at it with 'teaselwall service show' or 'zone status', then run "
            "your command again on top of it, with a new --change."
        ),
    )
