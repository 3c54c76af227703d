"""Operators' commands that change the configuration."""

from teaselwall import changes, confirmations, control, errors
from teaselwall.generated import messages

MAX_SERVICES = 1000
MAX_SERVERS_DRAINED = 20_000
EMERGENCY_AFTER_MS = 1500  # time for the log before an emergency order is issued
CATCH_UP_TIMEOUT_MS = 1000  # time to apply the version that a command is based on
DEFAULT_AUTHOR = "operator"


class Operators:
    """Handlers under ``/operator/`` that publish changes and confirm them.

    They reply when all entry hosts have the change in force, or when the time limit of
    the confirmation has passed.

    Parameters
    ----------
    state : configuration.State
    fleet : fleet.Fleet
    follower : followers.Follower
    publisher : publications.Publisher
    orders : emergencies.EmergencyOrders
    confirmer : confirmations.Confirmer
    """

    __slots__ = ("state", "fleet", "follower", "publisher", "orders", "confirmer")

    def __init__(self, state, fleet, follower, publisher, orders, confirmer):
        self.state = state
        self.fleet = fleet
        self.follower = follower
        self.publisher = publisher
        self.orders = orders
        self.confirmer = confirmer

    def register(self, host_control):
        """Add the handlers to ``control.Control``."""
        host_control.add("/operator/services/publish", self.publish)
        host_control.add("/operator/data-centres/out", self.take_out)
        host_control.add("/operator/data-centres/in", self.bring_in)
        host_control.add("/operator/servers/drain", self.drain)
        host_control.add("/operator/servers/undrain", self.undrain)
        host_control.add("/operator/configuration/restart", self.restart)

    async def publish(self, message):
        """Validate a service document and put it in force."""
        call = await self._read_call(message)
        result = changes.read_document(call.document, "the service")
        if result.is_error():
            raise result.error
        document = result.ok
        self._check_pools(document)
        known = self.state.services
        if document.service not in known and len(known) >= MAX_SERVICES:
            detail = f"The maximum of {MAX_SERVICES} services is reached."
            remedy = "Replace the document of a service that is no longer used."
            raise errors.InvalidRequest(detail, remedy=remedy)
        current = self.state.entries.get(("service", document.service))
        old = current.content if current is not None else None
        change = changes.smallest_change(
            document, old, call.base, call.author, call.change
        )
        return await self._publish_change(change)

    def _check_pools(self, document):
        if not self.fleet.list_received:
            return
        known = sorted(self.fleet.by_pool)
        for stage in document.stages:
            if stage.pool not in known:
                detail = f"The host list has no stage pool {stage.pool!r}."
                remedy = f"Use one of {known}, or start the pool's servers first."
                raise errors.InvalidRequest(detail, remedy=remedy)

    async def take_out(self, message):
        """Take a data centre out, by an emergency order if the log is unavailable."""
        call = await self._read_call(message)
        self._check_data_centre(call.name)
        change = changes.data_centre(
            call.name, True, call.base, call.author, call.change
        )
        result = await self.publisher.publish(change, EMERGENCY_AFTER_MS)
        if result.is_ok():
            return await self._reply(change, result.ok, "accepted")
        return await self._take_out_without_log(change)

    async def _take_out_without_log(self, change):
        hosts = await self.orders.issue(change)
        if hosts is None:
            detail = (
                f"The emergency order for {change.subject} was refused: a newer "
                "decision is in force, or there are too many emergency orders."
            )
            remedy = "Check 'teaselwall zone status' before running a new command."
            raise errors.Conflict(detail, remedy=remedy)
        return confirmations.reply("emergency", 0, hosts)

    async def bring_in(self, message):
        """Bring a data centre back; refused while the log is unavailable."""
        call = await self._read_call(message)
        self._check_data_centre(call.name)
        change = changes.data_centre(
            call.name, False, call.base, call.author, call.change
        )
        return await self._publish_change(change)

    def _check_data_centre(self, name):
        known = self.data_centres()
        if name not in known:
            detail = f"There is no data centre {name!r}."
            remedy = f"Use one of {sorted(known)}."
            raise errors.InvalidRequest(detail, remedy=remedy)

    def data_centres(self):
        """Return the names of all data centres known to this host.

        These are the data centres of backend servers, entry hosts and configuration
        entries.
        """
        servers = {server.data_centre for server in self.servers().values()}
        members = {m.data_centre for m in self.follower.membership.alive()}
        decided = {name for kind, name in self.state.entries if kind == "data_centre"}
        return servers | members | decided

    def servers(self):
        """Return all backend servers of the host list, by address."""
        return {
            address: server
            for pool in self.fleet.by_pool.values()
            for address, server in pool.items()
        }

    async def drain(self, message):
        """Drain a backend server: it gets no new work until it is undrained."""
        call = await self._read_call(message)
        server = self.servers().get(call.name)
        if server is None:
            detail = f"The host list has no backend server {call.name!r}."
            remedy = "Use an address that 'teaselwall server status' lists."
            raise errors.InvalidRequest(detail, remedy=remedy)
        if len(self.state.servers_drained) >= MAX_SERVERS_DRAINED:
            detail = f"The maximum of {MAX_SERVERS_DRAINED} drained servers is reached."
            raise errors.InvalidRequest(detail, remedy="Undrain some of them first.")
        change = changes.server(
            call.name, True, server.incarnation, call.base, call.author, call.change
        )
        return await self._publish_change(change)

    async def undrain(self, message):
        """End the draining of a backend server."""
        call = await self._read_call(message)
        if ("server", call.name) not in self.state.entries:
            detail = f"The backend server {call.name!r} is not drained."
            remedy = "Use an address that 'teaselwall server status' lists."
            raise errors.InvalidRequest(detail, remedy=remedy)
        change = changes.server(
            call.name, False, "", call.base, call.author, call.change
        )
        return await self._publish_change(change)

    async def restart(self, message):
        """Restart from this host's state after the log has lost unread records."""
        call = await self._read_call(message)
        if not self.follower.log_gap:
            detail = (
                "This entry host sees no gap in the log, so a restart is not allowed."
            )
            remedy = (
                "Publish changes as usual; use a restart only after a gap in the log."
            )
            raise errors.Conflict(detail, remedy=remedy)
        if self.state.unread:
            detail = "This entry host cannot decode all service documents in force."
            remedy = "Ask an entry host that runs the newest version of the program."
            raise errors.Conflict(detail, remedy=remedy)
        result = await self.publisher.restart(call.author)
        if result.is_error():
            raise result.error
        hosts = await self.confirmer.confirm(result.ok)
        return confirmations.reply("accepted", result.ok, hosts)

    async def _read_call(self, message):
        """Decode the call, fill in missing fields and catch up to its base version."""
        call = control.read(message, messages.OperatorCall)
        call.change = call.change or changes.new_id()
        call.author = call.author or DEFAULT_AUTHOR
        if call.base < 0:
            call.base = self.state.version
        if not await self.follower.catch_up_to(call.base, CATCH_UP_TIMEOUT_MS):
            detail = (
                f"This entry host has only version {self.state.version}, which is "
                "older than the version that the command is based on."
            )
            remedy = "Try again, or ask another entry host."
            raise errors.Unavailable(detail, remedy=remedy)
        return call

    async def _publish_change(self, change):
        known = self.state.verdict(change)
        if known is not None:
            return await self._reply(change, known, "already")
        result = await self.publisher.publish(change)
        if result.is_error():
            raise result.error
        return await self._reply(change, result.ok, "accepted")

    async def _reply(self, change, verdict, outcome):
        if not verdict.accepted:
            raise confirmations.conflict_error(verdict)
        hosts = await self.confirmer.confirm(verdict.version)
        return confirmations.reply(outcome, verdict.version, hosts)
