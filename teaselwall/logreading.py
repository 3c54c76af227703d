"""Reading the log lines of entry hosts, to explain what happened to a request."""

import dataclasses

import msgspec

# Events that tell the state in which a host decided. With a request, the newest line
# of each of them up to the request's last line is shown.
STATE_EVENTS = (
    "started",
    "configuration",
    "configuration_unreadable",
    "coordinator",
    "store_lost",
    "store_regained",
    "history_lost",
    "data_centre_out",
    "data_centre_back",
    "lines_left_out",
)
# Left out of the fields in a line's text.
HIDDEN_FIELDS = ("time_ms", "level", "logger", "event", "host", "request", "requests")


@dataclasses.dataclass(slots=True, frozen=True)
class LogLine:
    """A log line of an entry host.

    Attributes
    ----------
    time_ms : int
        Time by the clock of the host; the clocks of two hosts may differ.
    host : str
        Name of the entry host.
    event : str
    fields : dict
        All fields of the JSON object.
    """

    time_ms: int
    host: str
    event: str
    fields: dict

    def concerns(self, request):
        """Return whether the line names a request."""
        if self.fields.get("request") == request:
            return True
        return request in self.fields.get("requests", ())

    def text(self):
        """Return the line as readable text."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in HIDDEN_FIELDS and value not in ("", None)
        )
        return f"{self.time_ms} {self.host} {self.event} {shown}"


def parse(text):
    """Parse a line of a log file.

    Text before the JSON object, such as a time added by a log collector, is ignored.

    Returns
    -------
    LogLine or None
        None where the text is not a log line of an entry host.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:].strip())
    except msgspec.DecodeError:
        return None
    if not isinstance(fields, dict) or "event" not in fields:
        return None
    return LogLine(
        int(fields.get("time_ms", 0)),
        str(fields.get("host", "")),
        fields["event"],
        fields,
    )


def explain(lines, request):
    """Return the log lines that explain what happened to a request.

    Parameters
    ----------
    lines : iterable of LogLine
    request : str
        Id of the request.

    Returns
    -------
    list of LogLine
        Ordered by time: the lines that name the request; for each host among them,
        the newest line of each of ``STATE_EVENTS``, and the newest line of each
        event about a server that the request's lines name. Empty where no line
        names the request.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.concerns(request)]
    if not request_lines:
        return []
    end_ms = max(line.time_ms for line in request_lines)
    hosts = {line.host for line in request_lines}
    servers = {line.fields.get("server") for line in request_lines} - {None}
    state_lines = {}
    for line in all_lines:
        if line.time_ms > end_ms or line.host not in hosts or line in request_lines:
            continue
        if line.event in STATE_EVENTS:
            state_lines[line.host, line.event] = line
        elif line.fields.get("server") in servers and not _names_request(line):
            state_lines[line.host, line.event, line.fields["server"]] = line
    ordered = [*state_lines.values(), *request_lines]
    return sorted(ordered, key=lambda line: line.time_ms)


def _names_request(line):
    return "request" in line.fields or "requests" in line.fields
