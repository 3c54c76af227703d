"""Commands that show the status of the deployment and traces."""

import re
import time

from cleo import helpers

from teaselwall import console, errors, fleet_commands, gatewayviews, operatorcalls
from teaselwall.generated import messages

WATCH_INTERVAL_S = 2
# ANSI escape codes: cursor to the top left, clear the screen.
CLEAR_SCREEN = "\033[H\033[2J"
TRACE_ID = re.compile(r"[0-9a-f]{32}")


class Status(console.EntryCommand):
    """Show the status of the whole deployment."""

    name = "status"
    description = "Show services, data centres, stage pools and entry hosts."
    options = [
        *console.ENTRY_OPTIONS,
        console.flag_option("watch", "Repeat until interrupted."),
    ]

    def execute_call(self, client):
        """Print the status, repeatedly with ``--watch``."""
        exit_status = self._print_status(client)
        while self.option("watch"):
            time.sleep(WATCH_INTERVAL_S)
            if not self.option("json"):
                self.io.write(CLEAR_SCREEN)
            exit_status = self._print_status(client)
        return exit_status

    def _print_status(self, client):
        result = fleet_commands.read_status(client)
        if result.is_error():
            return self.fail(result.error)
        self.print_reply(result.ok, status_lines(result.ok))
        return console.EXIT_OK


def status_lines(status):
    """Yield the lines that show a ``messages.Picture``."""
    log = "answers" if status.log_answers else "is unavailable"
    yield f"Seen by {status.host}: configuration version {status.base}, the log {log}"
    if status.log_gap:
        yield (
            "The log has dropped records that no entry host has read: "
            "see docs/operators.md."
        )
    yield f"Ready: {'yes' if status.ready else 'no'}; era {status.era}"
    yield "Services:"
    for name, version in sorted(status.services.items()):
        yield f"  {name}: version {version}"
    yield "Data centres:"
    yield from ("  " + fleet_commands.zone_line(c) for c in status.data_centres)
    yield "Stage pools:"
    yield from ("  " + fleet_commands.pool_line(pool) for pool in status.pools)
    yield from ("  " + fleet_commands.drained_line(s) for s in status.drained)
    yield "Entry hosts:"
    yield from ("  " + fleet_commands.host_line(host) for host in status.hosts)


class Trace(console.EntryCommand):
    """Show the trace of a request."""

    name = "trace"
    description = "Show the spans of a request, collected from all entry hosts."
    arguments = [
        helpers.argument("id", "Trace id, from the Trace-Id header of the answer.")
    ]

    def execute_call(self, client):
        """Collect the spans and print them as a tree."""
        trace = self.argument("id")
        if not TRACE_ID.fullmatch(trace):
            raise console.UsageError(f"{trace!r} is not 32 hexadecimal digits.")
        status = fleet_commands.read_status(client)
        if status.is_error():
            return self.fail(status.error)
        spans, unanswered = collect_spans(
            client, [h.address for h in status.ok.hosts], trace
        )
        if not spans:
            detail = f"No entry host has spans of {trace}."
            remedy = "Each entry host keeps only its newest traces (traces.n_kept)."
            return self.fail(errors.NotFound(detail, remedy=remedy))
        self.print_reply({"spans": spans, "silent": unanswered}, tree_lines(spans))
        for address in unanswered:
            self.line_error(f"{address} did not answer; spans may be missing.")
        return console.EXIT_INCOMPLETE if unanswered else console.EXIT_OK


def collect_spans(client, addresses, trace):
    """Read the spans of a trace from entry hosts.

    Parameters
    ----------
    client : operatorcalls.Client
    addresses : list of str
        Peer addresses of the entry hosts.
    trace : str

    Returns
    -------
    tuple of (list of dict, list of str)
        The spans, each with its ``host``, and the addresses that did not answer.
    """
    request = messages.TraceAsked(trace=trace)
    spans, unanswered = [], []
    results = client.call_at(addresses, "/operator/trace", request)
    for address, result in zip(addresses, results, strict=True):
        if result.is_error():
            unanswered.append(address)
            continue
        reply = operatorcalls.as_struct(result.ok, messages.TraceSpans)
        spans.extend(span | {"host": reply.host} for span in reply.spans)
    return spans, unanswered


def tree_lines(spans):
    """Yield a line for each span, indented below its parent.

    A line starts with the span's start relative to its root span and its duration,
    both in ms. A span whose parent is not among the spans is a root span.
    """
    span_ids = {span["span"] for span in spans}
    children = {}
    for span in sorted(spans, key=lambda span: span["start_ms"]):
        parent = span["parent"] if span["parent"] in span_ids else ""
        children.setdefault(parent, []).append(span)
    stack = [(span, 0, span) for span in reversed(children.get("", []))]
    while stack:
        span, depth, root = stack.pop()
        yield _span_line(span, depth, root)
        nested = reversed(children.get(span["span"], []))
        stack.extend((child, depth + 1, root) for child in nested)


def _span_line(span, depth, root):
    offset_ms = span["start_ms"] - root["start_ms"]
    attributes = " ".join(f"{k}={v}" for k, v in span["attributes"].items())
    return (
        f"{offset_ms:9.1f} ms {span['duration_ms']:9.1f} ms  "
        f"{'  ' * depth}{span['name']} [{span['host']}] {attributes}"
    )


class GatewayStatus(console.EntryCommand):
    """Show the view of an entry host on a platform."""

    name = "gateway status"
    description = "Show the present view of an entry host on a platform."

    def execute_call(self, client):
        """Print the view of the first host that answers."""
        result = client.call(gatewayviews.PATH, {})
        if result.is_error():
            return self.fail(result.error)
        view = operatorcalls.as_struct(result.ok, messages.GatewayView)
        self.print_reply(view, gateway_lines(view))
        return console.EXIT_OK


def gateway_lines(view):
    """Yield the lines that show a ``messages.GatewayView``."""
    ready = "ready" if view.ready else "not ready"
    yield f"{view.host}: {ready}, {view.n_in_flight} requests in flight"
    yield (
        f"Configuration: version {view.configuration}, "
        f"{view.configuration_age_ms} ms old; servers {view.servers_age_ms} ms old; "
        f"read by {view.reader or 'this host'}"
    )
    yield f"Data centres out: {', '.join(view.data_centres_out) or 'none'}"
    yield "Entry hosts:"
    for member in view.members:
        state = "not serving" if member.draining else "serving"
        yield (
            f"  {member.address} {member.data_centre}: {state}, "
            f"{member.n_requests} requests, {member.n_cores:g} cores, "
            f"stage backlog {member.backlog_ms} ms, heard {member.age_ms} ms ago"
            f"{_unreachable_text(member)}"
        )
    yield "Stage coordinators:"
    yield from (f"  {g}: {address}" for g, address in view.coordinators.items())
    yield from (f"  {n} pieces wait for {p}" for p, n in view.waiting_pieces.items())
    yield "Pools:"
    yield from (_pool_text(pool) for pool in view.pools)
    yield "Backend servers:"
    for server in view.servers:
        yield (
            f"  {server.pool} {server.address} {server.data_centre} "
            f"{server.incarnation}: {server.n_in_flight} of this host, "
            f"load {server.load:g}, {server.left_out or 'in use'}"
            f"{_told_text(server)}"
        )
    yield from (f"Retries of {pool}: {n}" for pool, n in view.retries.items())
    yield from (
        f"Refused, as servers ended: {entry.content} ({entry.n_crashes} ends, "
        f"for {entry.age_ms / 1000:.0f} s)"
        for entry in view.quarantined
    )


def _pool_text(pool):
    """Return the line that shows a ``messages.PoolView``."""
    if not pool.n_told:
        return f"  {pool.pool}: none of {pool.n_servers} servers has said its load"
    return (
        f"  {pool.pool}: {pool.n_told} of {pool.n_servers} servers have said their "
        f"load, {pool.load_age_ms} ms ago in the median; {pool.utilisation:.0%} of "
        f"places in use, {pool.busiest_ratio:g} times that at the busiest tenth, "
        f"{pool.n_full} full"
    )


def _told_text(server):
    """Return what a server has said of itself, or an empty text."""
    if server.load_age_ms < 0:
        return ""
    slowness = f", {server.slowness:g} times as slow" if server.slowness else ""
    return f", {server.n_places} places{slowness}, told {server.load_age_ms} ms ago"


def _unreachable_text(member):
    if not member.unreachable:
        return ""
    return f", reaches no server of {', '.join(member.unreachable)}"
