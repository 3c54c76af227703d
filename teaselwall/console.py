"""Base classes, options and exit statuses of the ``teaselwall`` commands."""

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
EXIT_INCOMPLETE = 3
EXIT_UNREACHABLE = 4
HOSTS_VARIABLE = "TEASELWALL_HOSTS"
KEY_VARIABLE = "TEASELWALL_KEY"
MAX_AUTHOR_CHARACTERS = 64


def flag_option(name, description):
    """Return an option without a value."""
    return helpers.option(name, None, description, flag=True)


def value_option(name, description):
    """Return an option with a value."""
    return helpers.option(name, None, description, flag=False)


ENTRY_OPTIONS = [
    value_option(
        "hosts",
        f"Peer addresses of entry hosts, separated by commas [{HOSTS_VARIABLE}].",
    ),
    value_option("key", f"Operator key [{KEY_VARIABLE}]."),
    flag_option("json", "Print the output as JSON."),
]
CHANGE_OPTIONS = [
    flag_option("yes", "Do not ask for confirmation."),
    value_option("change", "Identifier of the change, for a safe repeat."),
    value_option("base", "Configuration version on which the change is based."),
    value_option("author", "Who makes the change."),
]


class UsageError(Exception):
    """Missing or invalid options or environment variables."""


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
        """Call the entry hosts and print the result; return the exit status."""
        raise NotImplementedError

    def client(self):
        """Return a client for the entry hosts named by options or environment.

        Raises
        ------
        UsageError
            Where no entry host or no key is given, or an address is invalid.
        """
        text = self.option("hosts") or os.environ.get(HOSTS_VARIABLE, "")
        key = self.option("key") or os.environ.get(KEY_VARIABLE, "")
        addresses = [part.strip() for part in text.split(",") if part.strip()]
        if not addresses:
            raise UsageError(
                f"No entry host is given. Use --hosts or {HOSTS_VARIABLE}."
            )
        for address in addresses:
            fault = settings.address_fault(address)
            if fault:
                raise UsageError(f"{address!r} {fault}. Write IP:port.")
        if not key:
            raise UsageError(f"No operator key is given. Use --key or {KEY_VARIABLE}.")
        return operatorcalls.Client(addresses, key)

    def fail(self, error):
        """Print an error; return its exit status."""
        if self.option("json"):
            self.line(encode(_error_fields(error)))
        else:
            self.line_error(str(error))
        if isinstance(error, errors.NoEntryHost):
            return EXIT_UNREACHABLE
        if error.outcome is errors.Outcome.UNKNOWN:
            return EXIT_INCOMPLETE
        return EXIT_REFUSED

    def print_reply(self, reply, lines):
        """Print a reply as JSON if asked for, otherwise the given lines of text."""
        if self.option("json"):
            self.line(encode(reply))
            return
        for text in lines:
            self.write_plain(text)

    def write_plain(self, text):
        """Print a line without interpreting cleo's markup in it."""
        self.line(self.io.output.formatter.escape(text))


class ChangeCommand(EntryCommand):
    """Base of the commands that change the configuration."""

    options = ENTRY_OPTIONS + CHANGE_OPTIONS

    def operator_call(self, name="", document=None, base=-1):
        """Return the message that asks for a change.

        Its identifier lets the entry hosts recognise a repeat of the same change.

        Parameters
        ----------
        name : str
            Data centre or backend server to change.
        document : dict or None
            Service document to publish.
        base : int
            Configuration version on which the change is based, if ``--base`` is not
            given; -1 for none.

        Raises
        ------
        UsageError
            Where ``--base`` is not a whole number.
        """
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

    def is_confirmed(self, question):
        """Return whether the operator confirms, by ``--yes`` or at the prompt."""
        if self.option("yes") or self.confirm(question, False):
            return True
        self.line_error("Nothing was changed. Without a terminal, use --yes.")
        return False

    def change(self, client, path, call):
        """Make a change and print where it is in force; return the exit status."""
        result = client.call(path, call)
        if result.is_error():
            if result.error.outcome is errors.Outcome.UNKNOWN:
                self.line_error(f"The identifier of the change is {call.change}.")
            return self.fail(result.error)
        reply = operatorcalls.as_struct(result.ok, messages.OperatorReply)
        self.print_reply(reply, _reply_lines(reply))
        return EXIT_INCOMPLETE if reply.lagging else EXIT_OK


def encode(message):
    """Return a message as indented JSON text."""
    return msgspec.json.format(msgspec.json.encode(message), indent=2).decode()


def _error_fields(error):
    return {
        "error": type(error).__name__,
        "detail": error.detail,
        "remedy": error.remedy,
        "outcome": error.outcome.value,
    }


def _reply_lines(reply):
    if reply.outcome == "emergency":
        yield (
            "The log service is unavailable; the emergency order is in force until the "
            "log decides on it."
        )
    elif reply.outcome == "already":
        yield f"Already in force as version {reply.version}."
    else:
        yield f"Accepted as version {reply.version}."
    yield f"In force on {reply.n_in_force} of {reply.n_hosts} entry hosts."
    for host in reply.lagging:
        state = "no answer" if host.version < 0 else f"version {host.version}"
        yield f"  lagging: {host.address} in {host.data_centre} ({state})"
