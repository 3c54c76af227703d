"""What all commands of the ``teaselwall`` program share."""

import getpass
import os

import msgspec
from cleo import helpers
from cleo.commands import command

from teaselwall import changes, errors, operatorcalls, settings
from teaselwall.generated import messages

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NOT_EVERYWHERE = 3
EXIT_UNREACHABLE = 4
HOSTS_VARIABLE = "TEASELWALL_HOSTS"
KEY_VARIABLE = "TEASELWALL_KEY"
MAX_AUTHOR_CHARACTERS = 64


def flag(name, description):
    """Return an option without a value."""
    return helpers.option(name, None, description, flag=True)


def value(name, description):
    """Return an option with a value."""
    return helpers.option(name, None, description, flag=False)


ENTRY_OPTIONS = [
    value("hosts", f"Peer addresses of entry hosts, by comma [{HOSTS_VARIABLE}]."),
    value("key", f"Operator key [{KEY_VARIABLE}]."),
    flag("json", "Print JSON."),
]
CHANGE_OPTIONS = [
    flag("yes", "Do not ask."),
    value("change", "Identifier of the change, to repeat a command safely."),
    value("base", "Configuration version that the change is based on."),
    value("author", "Who makes the change."),
]


class UsageError(Exception):
    """Options that cannot be used."""


class EntryCommand(command.Command):
    """Base of the commands that call entry hosts."""

    options = ENTRY_OPTIONS

    def handle(self):
        """Run the command; return its exit status."""
        try:
            return self.execute_call(self.client())
        except UsageError as error:
            self.line_error(str(error))
            return EXIT_USAGE

    def execute_call(self, client):
        """Make the command's calls; return the exit status."""
        raise NotImplementedError

    def client(self):
        """Return the client for the entry hosts that options or environment name."""
        text = self.option("hosts") or os.environ.get(HOSTS_VARIABLE, "")
        key = self.option("key") or os.environ.get(KEY_VARIABLE, "")
        addresses = [part.strip() for part in text.split(",") if part.strip()]
        if not addresses:
            raise UsageError(
                f"No entry host is named. Use --hosts or {HOSTS_VARIABLE}."
            )
        for address in addresses:
            fault = settings.address_fault(address)
            if fault:
                raise UsageError(f"{address!r} {fault}. Write IP:port.")
        if not key:
            raise UsageError(f"No operator key is given. Use --key or {KEY_VARIABLE}.")
        return operatorcalls.Client(addresses, key)

    def fail(self, error):
        """Print an error and return the exit status that goes with it."""
        if self.option("json"):
            self.line(encode(_problem(error)))
        else:
            self.line_error(str(error))
        if isinstance(error, errors.NoEntryHost):
            return EXIT_UNREACHABLE
        if error.outcome is errors.Outcome.UNKNOWN:
            return EXIT_NOT_EVERYWHERE
        return EXIT_REFUSED

    def print_reply(self, reply, lines):
        """Print a reply as JSON or as lines of text."""
        if self.option("json"):
            self.line(encode(reply))
            return
        for text in lines:
            self.write_plain(text)

    def write_plain(self, text):
        """Print a line as it is, without cleo's markup."""
        self.line(self.io.output.formatter.escape(text))


class ChangeCommand(EntryCommand):
    """Base of the commands that change the configuration."""

    options = ENTRY_OPTIONS + CHANGE_OPTIONS

    def operator_call(self, name="", document=None, base=-1):
        """Return the message of a change, with an identifier for repeats."""
        text = self.option("base") or str(base)
        if not text.lstrip("-").isdecimal():
            raise UsageError(f"--base {text!r} is not a whole number.")
        author = self.option("author") or getpass.getuser()
        return messages.OperatorCall(
            name=name,
            document=document or {},
            base=int(text),
            change=self.option("change") or changes.new_id(),
            author=author[:MAX_AUTHOR_CHARACTERS],
        )

    def agreed(self, question):
        """Return whether the operator agrees; scripts say so with ``--yes``."""
        if self.option("yes") or self.confirm(question, False):
            return True
        self.line_error("Nothing was changed. Without a terminal, say --yes.")
        return False

    def change(self, client, path, call):
        """Make the change, print where it is in force, return the exit status."""
        result = client.call(path, call)
        if result.is_error():
            if result.error.outcome is errors.Outcome.UNKNOWN:
                self.line_error(f"The change's identifier is {call.change}.")
            return self.fail(result.error)
        reply = operatorcalls.as_struct(result.ok, messages.OperatorReply)
        self.print_reply(reply, _lines(reply))
        return EXIT_NOT_EVERYWHERE if reply.lagging else EXIT_OK


def encode(message):
    """Return a message as indented JSON text."""
    return msgspec.json.format(msgspec.json.encode(message), indent=2).decode()


def _problem(error):
    return {
        "error": type(error).__name__,
        "detail": error.detail,
        "remedy": error.remedy,
        "outcome": error.outcome.value,
    }


def _lines(reply):
    if reply.outcome == "emergency":
        yield "The log service is away; the order is in force until it decides."
    elif reply.outcome == "already":
        yield f"Already in force as version {reply.version}."
    else:
        yield f"Accepted as version {reply.version}."
    yield f"In force on {reply.n_in_force} of {reply.n_hosts} entry hosts."
    for host in reply.lagging:
        state = "no answer" if host.version < 0 else f"version {host.version}"
        yield f"  lagging: {host.address} in {host.data_centre} ({state})"
