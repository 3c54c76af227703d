"""Confirms that all entry hosts have a configuration version in force."""

from teaselwall import control, errors, fanout
from teaselwall.generated import messages

PEER_TIMEOUT_MS = 1000
DELEGATE_TIMEOUT_MS = 1500
CATCH_UP_TIMEOUT_MS = 700
RETRY_INTERVAL_MS = 100
CONFIRM_TIMEOUT_MS = 4000
VERSION_PATH = "/peer/configuration/version"
DATA_CENTRE_PATH = "/peer/configuration/data-centre"


class Confirmer:
    """Waits until all entry hosts have applied a version.

    Hosts of the same data centre are asked directly, hosts of another data centre
    through a delegate there. A host that is asked reads the log at once, so it applies
    the version even if its long poll is stuck.

    Parameters
    ----------
    clock : clock.Clock
    follower : followers.Follower
    """

    __slots__ = ("clock", "follower")

    def __init__(self, clock, follower):
        self.clock = clock
        self.follower = follower

    def register(self, host_control):
        """Add the handler to ``control.Control``."""
        host_control.add(DATA_CENTRE_PATH, self.data_centre)

    async def data_centre(self, message):
        """Return the versions of this data centre's entry hosts."""
        asked = control.read(message, messages.ConfigurationAsked)
        return messages.HostsInForce(hosts=await self._ask_local(asked.version))

    async def confirm(self, version, limit_ms=CONFIRM_TIMEOUT_MS):
        """Ask until all entry hosts have a version or the time limit has passed.

        Returns
        -------
        list of messages.HostStatus
            All entry hosts, including those that lag, by data centre and address.
        """
        hosts = await self._ask_all(version)
        with self.clock.timeout_ms(limit_ms):
            while lagging(hosts, version):
                await self.clock.sleep_ms(RETRY_INTERVAL_MS)
                hosts = await self._ask_all(version)
        return sorted(hosts, key=_sort_key)

    async def _ask_all(self, version):
        hosts = await self._ask_local(version)
        hosts += await fanout.ask_remote(
            self.follower.membership,
            self.follower.peers,
            DATA_CENTRE_PATH,
            messages.ConfigurationAsked(version=version),
            DELEGATE_TIMEOUT_MS,
        )
        return hosts

    async def _ask_local(self, version):
        me = self.follower.membership.me

        async def ask(member):
            if member is me:
                await self.follower.catch_up_to(version, CATCH_UP_TIMEOUT_MS)
                return self.follower.state.version
            applied = await self.follower.ask(
                member.address, VERSION_PATH, version, PEER_TIMEOUT_MS
            )
            return fanout.NO_ANSWER if applied is None else applied.version

        return await fanout.visit_local(self.follower.membership, ask)


def lagging(hosts, version):
    """Return the hosts that have not applied a version."""
    return [host for host in hosts if host.version < version]


def reply(outcome, version, hosts):
    """Return a ``messages.OperatorReply`` with the hosts that lack the version."""
    behind = lagging(hosts, version)
    return messages.OperatorReply(
        outcome=outcome,
        version=version,
        n_hosts=len(hosts),
        n_in_force=len(hosts) - len(behind),
        lagging=behind,
    )


def conflict_error(verdict):
    """Return the error that tells an operator which change was accepted instead."""
    winner = f"{verdict.author or 'somebody'} with version {verdict.version}"
    return errors.Conflict(
        f"Another change was accepted first: by {winner} (change {verdict.change}).",
        remedy=(
            "Look at it with 'teaselwall service show' or 'zone status', then run "
            "your command again on top of it, with a new --change."
        ),
    )


def _sort_key(host):
    return (host.data_centre, host.address)
