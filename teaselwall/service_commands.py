"""Commands on service documents."""

import datetime
import difflib

import msgspec
import tomli_w
from cleo import helpers
from cleo.commands import command

from teaselwall import console, errors, operatorcalls, services
from teaselwall.generated import messages

MS_PER_S = 1000
FILE = helpers.argument("file", "Service document (TOML).")
NAME = helpers.argument("name", "Name of the service.")


def show(client, name):
    """Return the ``messages.ServiceShown`` of a service as a result."""
    result = client.call("/operator/services/show", messages.OperatorCall(name=name))
    return result.map(lambda r: operatorcalls.as_struct(r, messages.ServiceShown))


def difference(old, new, name):
    """Return the lines by which two documents, given as dicts, differ."""
    before = tomli_w.dumps(old).splitlines()
    after = tomli_w.dumps(new).splitlines()
    return list(
        difflib.unified_diff(
            before, after, f"{name} in force", f"{name} new", lineterm=""
        )
    )


class Compared:
    """A document in a file beside the one in force.

    Attributes
    ----------
    document : dict
        The new document.
    shown : messages.ServiceShown or None
    lines : list of str
        What differs.
    """

    __slots__ = ("document", "shown", "lines")

    def __init__(self, document, shown):
        self.document = document
        self.shown = shown
        old = shown.document if shown is not None else {}
        self.lines = difference(old, document, document["service"])


class FileCommand(console.ChangeCommand):
    """Base of the commands that compare a file with what is in force."""

    arguments = [FILE]

    def execute_call(self, client):
        """Compare, then go on with the command's own part."""
        result = services.read(self.argument("file"))
        if result.is_error():
            self.line_error(str(result.error))
            return console.EXIT_USAGE
        document = msgspec.to_builtins(result.ok)
        shown = show(client, document["service"])
        if shown.is_ok():
            return self.compared(client, Compared(document, shown.ok))
        if isinstance(shown.error, errors.NotFound):
            return self.compared(client, Compared(document, None))
        return self.fail(shown.error)

    def compared(self, client, compared):
        """Go on with the comparison; return the exit status."""
        raise NotImplementedError

    def print_lines(self, compared):
        """Print what differs."""
        for line in compared.lines:
            self.write_plain(line)


class Publish(FileCommand):
    """Publish a service document."""

    name = "service publish"
    description = "Show what a document changes, publish it and wait for all hosts."

    def compared(self, client, compared):
        """Ask, then publish."""
        shown = compared.shown
        if not compared.lines and not self.option("change"):
            self.line(f"Already in force as version {shown.version}.")
            return console.EXIT_OK
        if not self.option("json"):
            self.print_lines(compared)
        if not self.agreed("Publish this?"):
            return console.EXIT_REFUSED
        base = shown.base if shown is not None else -1
        call = self.operator_call(document=compared.document, base=base)
        return self.change(client, "/operator/services/publish", call)


class Diff(FileCommand):
    """Show what a document would change."""

    name = "service diff"
    description = "Show what a document would change."
    options = console.ENTRY_OPTIONS

    def compared(self, client, compared):
        """Print the difference."""
        if self.option("json"):
            self.line(console.encode({"lines": compared.lines}))
        elif compared.lines:
            self.print_lines(compared)
        else:
            self.line("No difference.")
        return console.EXIT_OK


class Show(console.EntryCommand):
    """Show a document in force."""

    name = "service show"
    description = "Print the document in force, ready to be changed and published."
    arguments = [NAME]

    def execute_call(self, client):
        """Print the document."""
        result = show(client, self.argument("name"))
        if result.is_error():
            return self.fail(result.error)
        shown = result.ok
        head = f"# version {shown.version} by {shown.author}, base {shown.base}"
        lines = [head, *tomli_w.dumps(shown.document).splitlines()]
        self.print_reply(shown, lines)
        return console.EXIT_OK


class History(console.EntryCommand):
    """Show the accepted changes of a service."""

    name = "service history"
    description = "Print the newest accepted changes of a service."
    arguments = [NAME]
    options = [*console.ENTRY_OPTIONS, console.value("limit", "Number of changes.")]

    def execute_call(self, client):
        """Print the changes."""
        limit = self.option("limit") or "20"
        if not limit.isdecimal() or not 0 < int(limit) <= 256:
            raise console.UsageError("--limit is a number from 1 to 256.")
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
    arguments = [FILE]

    def handle(self):
        """Check the document."""
        result = services.read(self.argument("file"))
        if result.is_error():
            self.line_error(str(result.error))
            return console.EXIT_USAGE
        self.line(f"{self.argument('file')} is right.")
        return console.EXIT_OK


def _history_line(entry):
    time = datetime.datetime.fromtimestamp(entry.time_ms / MS_PER_S, datetime.UTC)
    when = time.strftime("%Y-%m-%d %H:%M:%SZ")
    return f"{entry.version:>8}  {when}  {entry.kind:<13}  {entry.author}"
