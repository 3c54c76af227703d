"""Commands that read log files."""

from cleo import helpers
from cleo.commands import command

from teaselwall import console, logreading


class Explain(command.Command):
    """Print what all entry hosts decided about one request."""

    name = "explain"
    description = "Print every decision on a request from the logs of all entry hosts."
    arguments = [
        helpers.argument("request", "Id of the request."),
        helpers.argument("files", "Log files of the entry hosts.", multiple=True),
    ]

    def handle(self):
        """Print the lines; return the exit status."""
        lines = []
        for path in self.argument("files"):
            try:
                with open(path, encoding="utf-8", errors="replace") as file:
                    lines += filter(None, map(logreading.parse, file))
            except OSError as error:
                self.line_error(f"{path} cannot be read ({error}). Name a log file.")
                return console.EXIT_USAGE
        request = self.argument("request")
        found = logreading.explain(lines, request)
        if not found:
            self.line_error(
                f"No line of {len(lines)} names {request}. Give the logs of every "
                "entry host for the time of the request."
            )
            return console.EXIT_REFUSED
        for line in found:
            mark = ">" if line.concerns(request) else " "
            self.line(f"{mark} {line.text()}")
        return console.EXIT_OK
