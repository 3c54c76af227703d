"""Commands for data centres, backend servers, entry hosts and the quarantine."""

from cleo import helpers

from teaselwall import console, operatorcalls
from teaselwall.generated import messages

ZONE_ARGUMENT = helpers.argument("zone", "Name of the data centre.")
SERVER_ARGUMENT = helpers.argument("address", "IP:port of the backend server.")


def read_status(client):
    """Read the status that an entry host reports.

    Returns
    -------
    expression.Result
        ``messages.Picture`` or a typed error.
    """
    result = client.call("/operator/status", {})
    return result.map(lambda r: operatorcalls.as_struct(r, messages.Picture))


class TargetCommand(console.ChangeCommand):
    """Base of the commands that change one data centre or backend server.

    Attributes
    ----------
    path : str
        Operator endpoint that is called.
    question : str
        Template of the confirmation question.
    argument_name : str
        Command-line argument that names the data centre or server.
    """

    path = ""
    question = ""
    argument_name = ""

    def execute_call(self, client):
        """Print the present state, ask for confirmation, then make the change."""
        result = read_status(client)
        if result.is_error():
            return self.fail(result.error)
        name = self.argument(self.argument_name)
        if not self.option("json"):
            self.write_plain(self.state_line(result.ok, name))
        if not self.is_confirmed(self.question.format(name)):
            return console.EXIT_REFUSED
        return self.change(
            client, self.path, self.operator_call(name, base=result.ok.base)
        )

    def state_line(self, status, name):
        """Return the line that shows the state before the change.

        Parameters
        ----------
        status : messages.Picture
        name : str
            Data centre or address of the backend server.
        """
        raise NotImplementedError


class ZoneCommand(TargetCommand):
    """Base of the commands that take a data centre out or bring it back."""

    arguments = [ZONE_ARGUMENT]
    argument_name = "zone"

    def state_line(self, status, name):
        """Return the line that shows the data centre."""
        for centre in status.data_centres:
            if centre.name == name:
                return zone_line(centre)
        return f"{name}: not known to {status.host}"


class ZoneOut(ZoneCommand):
    """Take a data centre out of service."""

    name = "zone out"
    description = "Take a data centre out of service: it gets no new work."
    path = "/operator/data-centres/out"
    question = "Take {} out of service?"


class ZoneIn(ZoneCommand):
    """Bring a data centre back into service."""

    name = "zone in"
    description = "Bring a data centre back into service."
    path = "/operator/data-centres/in"
    question = "Bring {} back into service?"


class ZoneStatus(console.EntryCommand):
    """Show the data centres."""

    name = "zone status"
    description = "List the data centres and whether they are out of service."

    def execute_call(self, client):
        """Print a line for each data centre."""
        result = read_status(client)
        if result.is_error():
            return self.fail(result.error)
        centres = result.ok.data_centres
        self.print_reply(centres, [zone_line(centre) for centre in centres])
        return console.EXIT_OK


class ServerCommand(TargetCommand):
    """Base of the commands that drain or undrain a backend server."""

    arguments = [SERVER_ARGUMENT]
    argument_name = "address"

    def state_line(self, status, name):
        """Return the line that shows whether the server is drained."""
        drained = any(server.address == name for server in status.drained)
        return f"{name}: {'drained' if drained else 'in service'}"


class ServerDrain(ServerCommand):
    """Drain a backend server."""

    name = "server drain"
    description = "Drain a backend server: it gets no new work."
    path = "/operator/servers/drain"
    question = "Drain {}?"


class ServerUndrain(ServerCommand):
    """End the draining of a backend server."""

    name = "server undrain"
    description = "End the draining of a backend server: it gets work again."
    path = "/operator/servers/undrain"
    question = "Undrain {}?"


class ServerStatus(console.EntryCommand):
    """Show the backend servers."""

    name = "server status"
    description = "Count the servers of each stage pool and list the drained ones."

    def execute_call(self, client):
        """Print the pools and the drained servers."""
        result = read_status(client)
        if result.is_error():
            return self.fail(result.error)
        status = result.ok
        lines = [pool_line(pool) for pool in status.pools]
        lines += [drained_line(server) for server in status.drained]
        self.print_reply({"pools": status.pools, "drained": status.drained}, lines)
        return console.EXIT_OK


class HostStatus(console.EntryCommand):
    """Show the entry hosts."""

    name = "host status"
    description = "List the entry hosts with their configuration version."

    def execute_call(self, client):
        """Print a line for each entry host."""
        result = read_status(client)
        if result.is_error():
            return self.fail(result.error)
        hosts = result.ok.hosts
        self.print_reply(hosts, [host_line(host) for host in hosts])
        return console.EXIT_OK


class HostStop(console.ChangeCommand):
    """Stop an entry host."""

    name = "host stop"
    description = "Stop an entry host once its requests in flight have ended."
    arguments = [
        helpers.argument("address", "Peer address of the entry host (IP:port).")
    ]
    options = [
        *console.ENTRY_OPTIONS,
        console.flag_option("yes", "Do not ask for confirmation."),
    ]

    def execute_call(self, client):
        """Ask for confirmation, then stop the host."""
        address = self.argument("address")
        if not self.is_confirmed(f"Stop the entry host at {address}?"):
            return console.EXIT_REFUSED
        (result,) = client.call_at([address], "/operator/stop", {})
        if result.is_error():
            return self.fail(result.error)
        self.print_reply(result.ok, [f"{address} is stopping."])
        return console.EXIT_OK


class ConfigurationRestart(console.ChangeCommand):
    """Resume after the log has dropped records that no entry host has read."""

    name = "configuration restart"
    description = "Resume from the newest known configuration after a gap in the log."

    def execute_call(self, client):
        """Ask for confirmation, then restart the configuration."""
        question = "Changes that no entry host has read are lost. Continue?"
        if not self.is_confirmed(question):
            return console.EXIT_REFUSED
        call = self.operator_call()
        return self.change(client, "/operator/configuration/restart", call)


class QuarantineList(console.EntryCommand):
    """List the request contents in quarantine."""

    name = "quarantine list"
    description = "List the request contents that have crashed backend servers."

    def execute_call(self, client):
        """Print a line for each entry."""
        result = client.call("/operator/quarantine/list", {})
        if result.is_error():
            return self.fail(result.error)
        entries = result.ok["entries"]
        self.print_reply(result.ok, [_entry_line(entry) for entry in entries])
        return console.EXIT_OK


class QuarantineLift(console.ChangeCommand):
    """Lift the quarantine of a request content."""

    name = "quarantine lift"
    description = "Lift the quarantine of a request content."
    arguments = [
        helpers.argument(
            "content", "Hash of the content, as printed by 'quarantine list'."
        )
    ]
    options = [
        *console.ENTRY_OPTIONS,
        console.flag_option("yes", "Do not ask for confirmation."),
    ]

    def execute_call(self, client):
        """Ask for confirmation, then lift the quarantine."""
        content = self.argument("content")
        if not self.is_confirmed(f"Lift the quarantine of {content}?"):
            return console.EXIT_REFUSED
        result = client.call("/operator/quarantine/lift", {"content": content})
        if result.is_error():
            return self.fail(result.error)
        self.print_reply(result.ok, [f"The quarantine of {content} is lifted."])
        return console.EXIT_OK


def zone_line(centre):
    """Return the line that shows a data centre."""
    state = "out" if centre.out else "in"
    if centre.emergency:
        state = "out by emergency order, not yet in the log"
    author = f" by {centre.author}" if centre.author else ""
    return (
        f"{centre.name}: {state} (version {centre.version}{author}; "
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
        note = ", a new process has started since; undrain it once it is ready"
    return f"{server.address}: drained by {server.author}{note}"


def host_line(host):
    """Return the line that shows an entry host."""
    version = "no answer" if host.version < 0 else f"version {host.version}"
    state = ", draining" if host.draining else ""
    return (
        f"{host.address} in {host.data_centre}: {version}, "
        f"{host.n_requests} requests in flight{state}"
    )


def _entry_line(entry):
    return "  ".join(f"{name}={value}" for name, value in entry.items())
