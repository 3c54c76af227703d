"""Operator endpoints that read: documents, history, status and traces."""

import msgspec

from teaselwall import control, errors
from teaselwall.generated import messages

# Per reply.
MAX_SPANS = 10_000


class OperatorViews:
    """Handlers under ``/operator/`` that change nothing.

    Parameters
    ----------
    host : hosts.Host
    operators : operators.Operators
    """

    __slots__ = ("host", "operators")

    def __init__(self, host, operators):
        self.host = host
        self.operators = operators

    def register(self, host_control):
        """Add the handlers to a ``control.Control``."""
        host_control.add("/operator/services/show", self.show)
        host_control.add("/operator/services/history", self.history)
        host_control.add("/operator/status", self.status)
        host_control.add("/operator/trace", self.trace)

    async def show(self, message):
        """Return the document in force of a service, with its version and author.

        Raises
        ------
        errors.NotFound
            Where there is no service of that name.
        """
        call = control.read(message, messages.OperatorCall)
        state = self.host.state
        entry = state.entries.get(("service", call.name))
        if entry is None:
            detail = f"There is no service {call.name!r}."
            remedy = f"Use one of {sorted(state.services)}."
            raise errors.NotFound(detail, remedy=remedy)
        return messages.ServiceShown(
            name=call.name,
            version=entry.version,
            author=entry.author,
            change=entry.change,
            base=state.version,
            document=msgspec.to_builtins(entry.content),
        )

    async def history(self, message):
        """Return the accepted changes of a service, or of all, the newest first."""
        call = control.read(message, messages.OperatorCall)
        newest_first = [
            entry
            for entry in reversed(self.host.state.verdicts.history.values())
            if call.name in ("", entry.subject)
        ]
        return messages.History(entries=newest_first[: call.limit])

    async def status(self, message):
        """Return the status of the deployment as this entry host sees it."""
        host = self.host
        hosts = await self.operators.confirmer.confirm(0, 0)
        return messages.Picture(
            host=host.settings.host.name,
            base=host.state.version,
            log_answers=host.follower.log_answers,
            log_gap=host.follower.log_gap,
            ready=host.ready(),
            era=host.state.era,
            services={
                name: entry.version
                for (kind, name), entry in host.state.entries.items()
                if kind == "service"
            },
            data_centres=self._data_centres(hosts),
            pools=[self._pool(name) for name in sorted(host.fleet.by_pool)],
            drained=self._drained(),
            hosts=hosts,
        )

    def _data_centres(self, hosts):
        names = sorted(self.operators.data_centres())
        return [self._data_centre(name, hosts) for name in names]

    def _data_centre(self, name, hosts):
        state = self.host.state
        entry = state.entries.get(("data_centre", name))
        servers = self.operators.servers().values()
        return messages.DataCentreStatus(
            name=name,
            out=name in state.data_centres_out,
            emergency=any(order.subject == name for order in state.orders.values()),
            version=entry.version if entry else 0,
            author=entry.author if entry else "",
            n_servers=sum(server.data_centre == name for server in servers),
            n_hosts=sum(host.data_centre == name for host in hosts),
        )

    def _pool(self, name):
        fleet = self.host.fleet
        servers = fleet.by_pool[name].values()
        drained = self.host.state.servers_drained
        return messages.PoolStatus(
            name=name,
            n_servers=len(servers),
            n_open=sum(fleet.is_available(server) for server in servers),
            n_leaving=sum(server.leaving for server in servers),
            n_drained=sum(server.address in drained for server in servers),
        )

    def _drained(self):
        servers = self.operators.servers()
        return [
            self._drained_server(entry, servers.get(entry.subject))
            for entry in self.host.state.entries.values()
            if entry.kind == "server" and entry.content["drained"]
        ]

    def _drained_server(self, entry, server):
        drained_incarnation = entry.content.get("incarnation", "")
        return messages.DrainedServer(
            address=entry.subject,
            version=entry.version,
            author=entry.author,
            listed=server is not None,
            replaced=server is not None and server.incarnation != drained_incarnation,
        )

    async def trace(self, message):
        """Return the spans of a trace that this entry host has kept."""
        request = control.read(message, messages.TraceAsked)
        spans = self.host.tracer.kept_spans.spans.get(request.trace, [])
        return messages.TraceSpans(
            host=self.host.settings.host.name, spans=spans[:MAX_SPANS]
        )
