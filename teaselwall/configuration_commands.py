"""Commands for the operators' configuration on a platform."""

import importlib.metadata
import json

import expression
from cleo import helpers
from cleo.commands import command

from teaselwall import configurationchecks, configurationdiffs, console, errors

# Adapters of platforms are found by the entry points of installed packages.
PLATFORM_GROUP = "teaselwall.platforms"


class CheckConfiguration(command.Command):
    """Check a configuration before it is published."""

    name = "configuration check"
    description = "Check a configuration and show what it changes for callers."
    arguments = [helpers.argument("file", "Configuration, as it is to be published.")]
    options = [
        console.value_option("in-force", "File with the configuration in force."),
        console.value_option("platform", "Platform, where several are installed."),
        console.flag_option("json", "Print the output as JSON."),
    ]

    def handle(self):
        """Check the file; return the exit status.

        Returns
        -------
        int
            ``console.EXIT_REFUSED`` if more than notes are found.
        """
        decode = find_decoder(self.option("platform") or "")
        result = decode.bind(lambda d: read(self.argument("file"), d))
        in_force = expression.Ok(None)
        if self.option("in-force"):
            in_force = decode.bind(lambda d: read(self.option("in-force"), d))
        for read_result in (result, in_force):
            if read_result.is_error():
                self.line_error(str(read_result.error))
                return console.EXIT_USAGE
        findings = configurationchecks.check(result.ok)
        lines = []
        if in_force.ok is not None:
            lines = configurationdiffs.changes(result.ok, in_force.ok)
        if self.option("json"):
            self.line(json.dumps(as_json(result.ok, findings, lines)))
        else:
            self._print(result.ok, findings, lines, in_force.ok)
        is_in_order = configurationchecks.is_in_order(findings)
        return console.EXIT_OK if is_in_order else console.EXIT_REFUSED

    def _print(self, configuration, findings, lines, in_force):
        shown, n_left_out = configurationchecks.listed(findings)
        for finding in shown:
            self.line(finding.text())
        for kind, n_more in n_left_out.items():
            self.line(f"{kind.value}: {n_more} more.")
        if configurationchecks.is_in_order(findings):
            self.line(f"Version {configuration.version} is in order.")
        if in_force is not None:
            self.line(f"Against version {in_force.version}:")
            for line in lines or ["Nothing changes for callers."]:
                self.line(f"  {line}")


def find_decoder(name=""):
    """Return the decoder of a platform's configurations.

    Parameters
    ----------
    name : str
        Name of the platform; may be empty where one is installed.

    Returns
    -------
    expression.Result
        See ``platforms.Platform.decode_configuration``.
    """
    # Several distributions may name the same adapter.
    found = {
        (point.name, point.value): point
        for point in importlib.metadata.entry_points(group=PLATFORM_GROUP)
    }.values()
    matching = [point for point in found if not name or point.name == name]
    if len(matching) == 1:
        return expression.Ok(matching[0].load().decode_configuration)
    names = ", ".join(sorted(point.name for point in found)) or "none"
    return expression.Error(
        errors.SettingsError(
            f"{len(matching)} platforms match (installed: {names}).",
            remedy="Name one with --platform.",
        )
    )


def read(path, decode):
    """Return a result with the configuration in a file."""
    try:
        with open(path, "rb") as file:
            value = file.read()
    except OSError as error:
        remedy = "Name a file with a configuration."
        return expression.Error(
            errors.SettingsError(f"{path} can't be read ({error}).", remedy=remedy)
        )
    return decode(value)


def as_json(configuration, findings, lines):
    """Return the result of a check as a JSON-encodable object."""
    return {
        "version": configuration.version,
        "findings": [
            {
                "kind": finding.kind.value,
                "path": finding.path,
                "detail": finding.detail,
                "remedy": finding.remedy,
            }
            for finding in findings
        ],
        "changes": lines,
    }
