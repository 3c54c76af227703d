"""Commands that read the log files of entry hosts."""

from cleo import helpers
from cleo.commands import command

from teaselwall import console, logreading


class Explain(command.Command):
    """Print the log lines of all entry hosts that concern one request."""

    name = "explain"
    description = "Print what the logs of all entry hosts say about a request."
    arguments = [
        helpers.argument("request", "Id of the request."),
        helpers.argument("files", "Log files of the entry hosts.", multiple=True),
    ]

    def handle(self):
        """Print the lines, those of the request itself marked with ``>``.

        Returns
        -------
        int
            Exit status.
        """
        lines = []
        for path in self.argument("files"):
            try:
                with open(path, encoding="utf-8", errors="replace") as file:
                    lines += filter(None, map(logreading.parse, file))
            except OSError as error:
                self.line_error(f"{path} cannot be read ({error}). Name a log file.")
                return console.EXIT_USAGE
        request = self.argument("request")
        shown = logreading.explain(lines, request)
        if not shown:
            self.line_error(
                f"None of {len(lines)} log lines names {request}. Give the logs of "
                "every entry host for the time of the request."
            )
            return console.EXIT_REFUSED
        for line in shown:
            mark = ">" if line.concerns(request) else " "
            self.line(f"{mark} {line.text()}")
        return console.EXIT_OK
