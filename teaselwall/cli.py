"""The ``teaselwall`` command line for operators and engineers of callers.

Exit status: 0 success, 1 refused, 2 invalid usage or file, 3 outcome unknown or not
yet in force on all entry hosts, 4 no entry host answers.
"""

import sys

from cleo import application, exceptions, helpers
from cleo.commands import command

import teaselwall
from teaselwall import (
    configuration_commands,
    console,
    entrydaemon,
    fleet_commands,
    log_commands,
    rollout_commands,
    service_commands,
    settings,
    view_commands,
)

COMMANDS = (
    service_commands.Publish,
    service_commands.Show,
    service_commands.Diff,
    service_commands.History,
    service_commands.Check,
    fleet_commands.ZoneOut,
    fleet_commands.ZoneIn,
    fleet_commands.ZoneStatus,
    fleet_commands.ServerDrain,
    fleet_commands.ServerUndrain,
    fleet_commands.ServerStatus,
    fleet_commands.HostStop,
    fleet_commands.HostStatus,
    fleet_commands.QuarantineList,
    fleet_commands.QuarantineLift,
    fleet_commands.ConfigurationRestart,
    configuration_commands.CheckConfiguration,
    view_commands.Status,
    view_commands.Trace,
    view_commands.GatewayStatus,
    rollout_commands.RolloutStatus,
    log_commands.Explain,
)


class SettingsCheck(command.Command):
    """Check a settings file."""

    name = "settings check"
    description = "Check a settings file without starting a host."
    arguments = [helpers.argument("file", "Settings file (TOML).")]
    options = [
        console.flag_option("gateway", "The file is of an entry host on a platform.")
    ]

    def handle(self):
        """Check the file; return the exit status."""
        read = entrydaemon.read if self.option("gateway") else settings.read
        result = read(self.argument("file"))
        if result.is_error():
            self.line_error(str(result.error))
            return console.EXIT_USAGE
        self.line(f"{self.argument('file')} is valid.")
        return console.EXIT_OK


class Program(application.Application):
    """The cleo application of the ``teaselwall`` program.

    Attributes
    ----------
    wrong_usage : bool
        Whether cleo rejected the command line.
    """

    def __init__(self):
        super().__init__("teaselwall", teaselwall.__version__)
        self.wrong_usage = False
        self.auto_exits(False)
        for command_type in (SettingsCheck, *COMMANDS):
            self.add(command_type())

    def render_error(self, error, io):
        """Print an error and note whether the command line was invalid."""
        self.wrong_usage = isinstance(error, exceptions.CleoError)
        super().render_error(error, io)


def main():
    """Run the command line; return its exit status."""
    program = Program()
    status = program.run()
    return console.EXIT_USAGE if program.wrong_usage else status


if __name__ == "__main__":
    sys.exit(main())
