"""Commands for service documents."""

import datetime
import difflib

import msgspec
import tomli_w
from cleo import helpers
from cleo.commands import command

from teaselwall import console, errors, operatorcalls, services
from teaselwall.generated import messages

MS_PER_S = 1000
FILE_ARGUMENT = helpers.argument("file", "Service document (TOML).")
NAME_ARGUMENT = helpers.argument("name", "Name of the service.")


def read_service(client, name):
    """Read the document in force of a service.

    Returns
    -------
    expression.Result
        ``messages.ServiceShown`` or a typed error.
    """
    result = client.call("/operator/services/show", messages.OperatorCall(name=name))
    return result.map(lambda r: operatorcalls.as_struct(r, messages.ServiceShown))


def diff_lines(old, new, name):
    """Return a unified diff of two documents as TOML.

    Parameters
    ----------
    old, new : dict
    name : str
        Name of the service.

    Returns
    -------
    list of str
        Empty if the documents are equal.
    """
    before = tomli_w.dumps(old).splitlines()
    after = tomli_w.dumps(new).splitlines()
    return list(
        difflib.unified_diff(
            before, after, f"{name} in force", f"{name} new", lineterm=""
        )
    )


class Comparison:
    """Comparison of a new service document with the one in force.

    Attributes
    ----------
    document : dict
        The new document.
    in_force : messages.ServiceShown or None
        The document in force; None for a new service.
    lines : list of str
        Unified diff; empty if the documents are equal.
    """

    __slots__ = ("document", "in_force", "lines")

    def __init__(self, document, in_force):
        self.document = document
        self.in_force = in_force
        old = in_force.document if in_force is not None else {}
        self.lines = diff_lines(old, document, document["service"])


class CompareCommand(console.ChangeCommand):
    """Base of the commands that compare a file with the document in force."""

    arguments = [FILE_ARGUMENT]

    def execute_call(self, client):
        """Compare the documents, then call ``handle_comparison``."""
        result = services.read(self.argument("file"))
        if result.is_error():
            self.line_error(str(result.error))
            return console.EXIT_USAGE
        document = msgspec.to_builtins(result.ok)
        reply = read_service(client, document["service"])
        if reply.is_ok():
            return self.handle_comparison(client, Comparison(document, reply.ok))
        if isinstance(reply.error, errors.NotFound):
            return self.handle_comparison(client, Comparison(document, None))
        return self.fail(reply.error)

    def handle_comparison(self, client, comparison):
        """Print the diff or publish the document; return the exit status."""
        raise NotImplementedError

    def print_diff(self, comparison):
        """Print the lines of the diff."""
        for line in comparison.lines:
            self.write_plain(line)


class Publish(CompareCommand):
    """Publish a service document."""

    name = "service publish"
    description = (
        "Show the diff of a document, publish it and wait for all entry hosts."
    )

    def handle_comparison(self, client, comparison):
        """Print the diff, ask for confirmation, then publish."""
        in_force = comparison.in_force
        if not comparison.lines and not self.option("change"):
            self.line(f"Already in force as version {in_force.version}.")
            return console.EXIT_OK
        if not self.option("json"):
            self.print_diff(comparison)
        if not self.is_confirmed("Publish this document?"):
            return console.EXIT_REFUSED
        base = in_force.base if in_force is not None else -1
        call = self.operator_call(document=comparison.document, base=base)
        return self.change(client, "/operator/services/publish", call)


class Diff(CompareCommand):
    """Show how a document differs from the one in force."""

    name = "service diff"
    description = "Show how a document differs from the one in force."
    options = console.ENTRY_OPTIONS

    def handle_comparison(self, client, comparison):
        """Print the diff."""
        if self.option("json"):
            self.line(console.encode({"lines": comparison.lines}))
        elif comparison.lines:
            self.print_diff(comparison)
        else:
            self.line("No difference.")
        return console.EXIT_OK


class Show(console.EntryCommand):
    """Show the document in force of a service."""

    name = "service show"
    description = "Print the document in force as TOML, to be edited and published."
    arguments = [NAME_ARGUMENT]

    def execute_call(self, client):
        """Print the document under a comment line with its version and author."""
        result = read_service(client, self.argument("name"))
        if result.is_error():
            return self.fail(result.error)
        shown = result.ok
        header = f"# version {shown.version} by {shown.author}, base {shown.base}"
        lines = [header, *tomli_w.dumps(shown.document).splitlines()]
        self.print_reply(shown, lines)
        return console.EXIT_OK


class History(console.EntryCommand):
    """Show the accepted changes of a service."""

    name = "service history"
    description = "Print the newest accepted changes of a service."
    arguments = [NAME_ARGUMENT]
    options = [
        *console.ENTRY_OPTIONS,
        console.value_option("limit", "Number of changes (default 20)."),
    ]

    def execute_call(self, client):
        """Print a line for each change."""
        limit = self.option("limit") or "20"
        if not limit.isdecimal() or not 0 < int(limit) <= 256:
            raise console.UsageError("--limit must be a number from 1 to 256.")
        call = messages.OperatorCall(name=self.argument("name"), limit=int(limit))
        result = client.call("/operator/services/history", call)
        if result.is_error():
            return self.fail(result.error)
        history = operatorcalls.as_struct(result.ok, messages.History)
        self.print_reply(history, [_history_line(entry) for entry in history.entries])
        return console.EXIT_OK


class Check(command.Command):
    """Check a service document."""

    name = "service check"
    description = "Check a service document without publishing it."
    arguments = [FILE_ARGUMENT]

    def handle(self):
        """Check the document; return the exit status."""
        result = services.read(self.argument("file"))
        if result.is_error():
            self.line_error(str(result.error))
            return console.EXIT_USAGE
        self.line(f"{self.argument('file')} is valid.")
        return console.EXIT_OK


def _history_line(entry):
    time = datetime.datetime.fromtimestamp(entry.time_ms / MS_PER_S, datetime.UTC)
    time_text = time.strftime("%Y-%m-%d %H:%M:%SZ")
    return f"{entry.version:>8}  {time_text}  {entry.kind:<13}  {entry.author}"
