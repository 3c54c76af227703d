"""Reading the log lines of entry hosts back, to explain one request."""

import dataclasses

import msgspec

# Lines of these events say what a host believed; the newest of each kind before a
# request's end is shown with it.
BELIEFS = (
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
HIDDEN = ("time_ms", "level", "logger", "event", "host", "request", "requests")


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One log line.

    Attributes
    ----------
    time_ms : int
        Time of day of its host; those of two hosts may differ.
    """

    time_ms: int
    host: str
    event: str
    fields: dict

    def concerns(self, request):
        """Return whether the line is about a request."""
        if self.fields.get("request") == request:
            return True
        return request in self.fields.get("requests", ())

    def text(self):
        """Return the line for people."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in HIDDEN and value not in ("", None)
        )
        return f"{self.time_ms} {self.host} {self.event} {shown}"


def parse(text):
    """Return the ``Line`` of a text, or None where it is none.

    What stands before the JSON object, such as a collector's own time, is passed
    over.
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
    return Line(
        int(fields.get("time_ms", 0)),
        str(fields.get("host", "")),
        fields["event"],
        fields,
    )


def explain(lines, request):
    """Return what all hosts decided about a request, in order.

    Parameters
    ----------
    lines : iterable of Line
    request : str

    Returns
    -------
    list of Line
        Its own lines; before them the newest belief of each kind on each host that
        took part, and of the servers that it was sent to.
    """
    known = list(lines)
    own = [line for line in known if line.concerns(request)]
    if not own:
        return []
    end_ms = max(line.time_ms for line in own)
    hosts = {line.host for line in own}
    servers = {line.fields.get("server") for line in own} - {None}
    beliefs = {}
    for line in known:
        if line.time_ms > end_ms or line.host not in hosts or line in own:
            continue
        if line.event in BELIEFS:
            beliefs[line.host, line.event] = line
        elif line.fields.get("server") in servers and not _of_a_request(line):
            beliefs[line.host, line.event, line.fields["server"]] = line
    ordered = [*beliefs.values(), *own]
    return sorted(ordered, key=lambda line: line.time_ms)


def _of_a_request(line):
    return "request" in line.fields or "requests" in line.fields
