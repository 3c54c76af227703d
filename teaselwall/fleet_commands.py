"""Commands on data centres, backend servers, entry hosts and quarantine."""

from cleo import helpers

from teaselwall import console, operatorcalls
from teaselwall.generated import messages

ZONE = helpers.argument("zone", "Name of the data centre.")
SERVER = helpers.argument("address", "IP:port of the backend server.")


def picture(client):
    """Return the ``messages.Picture`` of an entry host as a result."""
    result = client.call("/operator/status", {})
    return result.map(lambda r: operatorcalls.as_struct(r, messages.Picture))


class PlaceCommand(console.ChangeCommand):
    """Base of the commands that take something out or bring it back."""

    path = ""
    question = ""
    argument_name = ""

    def execute_call(self, client):
        """Show the state, ask, then change it."""
        seen = picture(client)
        if seen.is_error():
            return self.fail(seen.error)
        name = self.argument(self.argument_name)
        if not self.option("json"):
            self.write_plain(self.before(seen.ok, name))
        if not self.agreed(self.question.format(name)):
            return console.EXIT_REFUSED
        return self.change(
            client, self.path, self.operator_call(name, base=seen.ok.base)
        )

    def before(self, seen, name):
        """Return a line on the state before the change."""
        raise NotImplementedError


class ZoneCommand(PlaceCommand):
    """Base of the commands that change a data centre."""

    arguments = [ZONE]
    argument_name = "zone"

    def before(self, seen, name):
        """Return the line of the data centre."""
        for centre in seen.data_centres:
            if centre.name == name:
                return zone_line(centre)
        return f"{name}: not known to {seen.host}"


class ZoneOut(ZoneCommand):
    """Take a data centre out."""

    name = "zone out"
    description = "Give a data centre no new work."
    path = "/operator/data-centres/out"
    question = "Take {} out?"


class ZoneIn(ZoneCommand):
    """Bring a data centre back."""

    name = "zone in"
    description = "Give a data centre work again."
    path = "/operator/data-centres/in"
    question = "Bring {} back in?"


class ZoneStatus(console.EntryCommand):
    """Show the data centres."""

    name = "zone status"
    description = "List the data centres and whether they are out."

    def execute_call(self, client):
        """Print a line for each data centre."""
        result = picture(client)
        if result.is_error():
            return self.fail(result.error)
        centres = result.ok.data_centres
        self.print_reply(centres, [zone_line(centre) for centre in centres])
        return console.EXIT_OK


class ServerCommand(PlaceCommand):
    """Base of the commands that change a backend server."""

    arguments = [SERVER]
    argument_name = "address"

    def before(self, seen, name):
        """Return the line of the backend server."""
        drained = any(server.address == name for server in seen.drained)
        return f"{name}: {'drained' if drained else 'in service'}"


class ServerDrain(ServerCommand):
    """Drain a backend server."""

    name = "server drain"
    description = "Give a backend server no new work."
    path = "/operator/servers/drain"
    question = "Drain {}?"


class ServerUndrain(ServerCommand):
    """Give a drained backend server work again."""

    name = "server undrain"
    description = "Give a drained backend server work again."
    path = "/operator/servers/undrain"
    question = "Give {} work again?"


class ServerStatus(console.EntryCommand):
    """Show the backend servers."""

    name = "server status"
    description = "Count the servers of each stage pool and list the drained ones."

    def execute_call(self, client):
        """Print the pools and the drained servers."""
        result = picture(client)
        if result.is_error():
            return self.fail(result.error)
        seen = result.ok
        lines = [pool_line(pool) for pool in seen.pools]
        lines += [drained_line(server) for server in seen.drained]
        self.print_reply({"pools": seen.pools, "drained": seen.drained}, lines)
        return console.EXIT_OK


class HostStatus(console.EntryCommand):
    """Show the entry hosts."""

    name = "host status"
    description = "List the entry hosts with their configuration version."

    def execute_call(self, client):
        """Print a line for each entry host."""
        result = picture(client)
        if result.is_error():
            return self.fail(result.error)
        hosts = result.ok.hosts
        self.print_reply(hosts, [host_line(host) for host in hosts])
        return console.EXIT_OK


class HostStop(console.ChangeCommand):
    """Stop an entry host."""

    name = "host stop"
    description = "Stop an entry host without cutting off what is in flight."
    arguments = [helpers.argument("address", "Its peer address (IP:port).")]
    options = [*console.ENTRY_OPTIONS, console.flag("yes", "Do not ask.")]

    def execute_call(self, client):
        """Ask, then stop it."""
        address = self.argument("address")
        if not self.agreed(f"Stop the entry host at {address}?"):
            return console.EXIT_REFUSED
        (result,) = client.call_at([address], "/operator/stop", {})
        if result.is_error():
            return self.fail(result.error)
        self.print_reply(result.ok, [f"{address} is stopping."])
        return console.EXIT_OK


class ConfigurationRestart(console.ChangeCommand):
    """Go on after the log lost records that nobody has read."""

    name = "configuration restart"
    description = "Go on from the newest known state after a gap in the log."

    def execute_call(self, client):
        """Ask, then restart."""
        question = "Changes that no entry host has read are lost. Go on?"
        if not self.agreed(question):
            return console.EXIT_REFUSED
        call = self.operator_call()
        return self.change(client, "/operator/configuration/restart", call)


class QuarantineList(console.EntryCommand):
    """List the quarantined requests."""

    name = "quarantine list"
    description = "List the contents that have crashed backend servers."

    def execute_call(self, client):
        """Print a line for each entry."""
        result = client.call("/operator/quarantine/list", {})
        if result.is_error():
            return self.fail(result.error)
        entries = result.ok["entries"]
        self.print_reply(result.ok, [_fields(entry) for entry in entries])
        return console.EXIT_OK


class QuarantineLift(console.ChangeCommand):
    """Let a quarantined request run again."""

    name = "quarantine lift"
    description = "Let a quarantined content run again."
    arguments = [helpers.argument("content", "Its hash, as listed.")]
    options = [*console.ENTRY_OPTIONS, console.flag("yes", "Do not ask.")]

    def execute_call(self, client):
        """Ask, then lift it."""
        content = self.argument("content")
        if not self.agreed(f"Let {content} run again?"):
            return console.EXIT_REFUSED
        result = client.call("/operator/quarantine/lift", {"content": content})
        if result.is_error():
            return self.fail(result.error)
        self.print_reply(result.ok, [f"{content} may run again."])
        return console.EXIT_OK


def zone_line(centre):
    """Return the line that shows a data centre."""
    state = "out" if centre.out else "in"
    if centre.emergency:
        state = "out by emergency order, not yet in the log"
    by = f" by {centre.author}" if centre.author else ""
    return (
        f"{centre.name}: {state} (version {centre.version}{by}; "
        f"{centre.n_servers} backend servers, {centre.n_hosts} entry hosts)"
    )


def pool_line(pool):
    """Return the line that shows a stage pool."""
    return (
        f"{pool.name}: {pool.n_open} of {pool.n_servers} backend servers open, "
        f"{pool.n_leaving} leaving, {pool.n_drained} drained"
    )


def drained_line(server):
    """Return the line that shows a drained backend server."""
    note = "" if server.listed else ", not in the host list"
    if server.replaced:
        note = ", another process since; undrain it if it is ready"
    return f"{server.address}: drained by {server.author}{note}"


def host_line(host):
    """Return the line that shows an entry host."""
    version = "no answer" if host.version < 0 else f"version {host.version}"
    state = ", draining" if host.draining else ""
    return (
        f"{host.address} in {host.data_centre}: {version}, "
        f"{host.n_requests} requests in flight{state}"
    )


def _fields(entry):
    return "  ".join(f"{name}={value}" for name, value in entry.items())
