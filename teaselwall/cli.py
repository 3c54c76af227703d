"""The ``teaselwall`` program for operators and callers' engineers."""

import sys

from cleo import application, helpers
from cleo.commands import command

import teaselwall
from teaselwall import services, settings

EXIT_OK = 0
EXIT_WRONG_FILE = 2


class SettingsCheck(command.Command):
    """Check a settings file."""

    name = "settings check"
    description = "Check a settings file without starting."
    arguments = [helpers.argument("file", "Settings file (TOML).")]

    def handle(self):
        """Check the file."""
        return self._say(settings.read(self.argument("file")))

    def _say(self, result):
        if result.is_error():
            self.line_error(str(result.error))
            return EXIT_WRONG_FILE
        self.line(f"{self.argument('file')} is right.")
        return EXIT_OK


class ServiceCheck(SettingsCheck):
    """Check a service document."""

    name = "service check"
    description = "Check a service document without publishing it."
    arguments = [helpers.argument("file", "Service document (TOML).")]

    def handle(self):
        """Check the document."""
        return self._say(services.read(self.argument("file")))


def main():
    """Run the command line; return its exit status."""
    console = application.Application("teaselwall", teaselwall.__version__)
    console.add(SettingsCheck())
    console.add(ServiceCheck())
    return console.run()


if __name__ == "__main__":
    sys.exit(main())
