"""Commands that show the whole picture and traces."""

import re
import time

from cleo import helpers

from teaselwall import console, errors, fleet_commands, gatewayviews, operatorcalls
from teaselwall.generated import messages

WATCH_INTERVAL_S = 2
CLEAR = "\033[H\033[2J"
TRACE_ID = re.compile(r"[0-9a-f]{32}")


class Status(console.EntryCommand):
    """Show the whole picture."""

    name = "status"
    description = "Show services, data centres, stage pools and entry hosts."
    options = [
        *console.ENTRY_OPTIONS,
        console.flag("watch", "Show it again and again."),
    ]

    def execute_call(self, client):
        """Print the picture, again and again if asked to."""
        status = self._print(client)
        while self.option("watch"):
            time.sleep(WATCH_INTERVAL_S)
            if not self.option("json"):
                self.io.write(CLEAR)
            status = self._print(client)
        return status

    def _print(self, client):
        result = fleet_commands.picture(client)
        if result.is_error():
            return self.fail(result.error)
        self.print_reply(result.ok, picture_lines(result.ok))
        return console.EXIT_OK


def picture_lines(seen):
    """Yield the lines of the whole picture."""
    log = "answers" if seen.log_answers else "is away"
    yield f"Seen by {seen.host}: configuration version {seen.base}, the log {log}"
    if seen.log_gap:
        yield "The log lost records that nobody has read: see docs/operators.md."
    yield f"Ready: {'yes' if seen.ready else 'no'}; era {seen.era}"
    yield "Services:"
    for name, version in sorted(seen.services.items()):
        yield f"  {name}: version {version}"
    yield "Data centres:"
    yield from ("  " + fleet_commands.zone_line(c) for c in seen.data_centres)
    yield "Stage pools:"
    yield from ("  " + fleet_commands.pool_line(pool) for pool in seen.pools)
    yield from ("  " + fleet_commands.drained_line(s) for s in seen.drained)
    yield "Entry hosts:"
    yield from ("  " + fleet_commands.host_line(host) for host in seen.hosts)


class Trace(console.EntryCommand):
    """Show a trace."""

    name = "trace"
    description = "Show the spans of a request, gathered from all entry hosts."
    arguments = [helpers.argument("id", "Trace id from the Trace-Id header.")]

    def execute_call(self, client):
        """Gather the spans and print them as a tree."""
        trace = self.argument("id")
        if not TRACE_ID.fullmatch(trace):
            raise console.UsageError(f"{trace!r} is not 32 hexadecimal digits.")
        seen = fleet_commands.picture(client)
        if seen.is_error():
            return self.fail(seen.error)
        spans, silent = gather(client, [h.address for h in seen.ok.hosts], trace)
        if not spans:
            detail = f"No entry host has spans of {trace}."
            remedy = "Each keeps the newest traces only (traces.n_kept)."
            return self.fail(errors.NotFound(detail, remedy=remedy))
        self.print_reply({"spans": spans, "silent": silent}, tree_lines(spans))
        for address in silent:
            self.line_error(f"{address} did not answer; spans may be missing.")
        return console.EXIT_NOT_EVERYWHERE if silent else console.EXIT_OK


def gather(client, addresses, trace):
    """Return the spans of a trace, and the addresses that did not answer."""
    asked = messages.TraceAsked(trace=trace)
    spans, silent = [], []
    results = client.call_at(addresses, "/operator/trace", asked)
    for address, result in zip(addresses, results, strict=True):
        if result.is_error():
            silent.append(address)
            continue
        reply = operatorcalls.as_struct(result.ok, messages.TraceSpans)
        spans.extend(span | {"host": reply.host} for span in reply.spans)
    return spans, silent


def tree_lines(spans):
    """Yield a line for each span, below its parent's, with times."""
    known = {span["span"] for span in spans}
    children = {}
    for span in sorted(spans, key=lambda span: span["start_ms"]):
        parent = span["parent"] if span["parent"] in known else ""
        children.setdefault(parent, []).append(span)
    stack = [(span, 0, span) for span in reversed(children.get("", []))]
    while stack:
        span, depth, root = stack.pop()
        yield _span_line(span, depth, root)
        below = reversed(children.get(span["span"], []))
        stack.extend((child, depth + 1, root) for child in below)


def _span_line(span, depth, root):
    offset_ms = span["start_ms"] - root["start_ms"]
    attributes = " ".join(f"{k}={v}" for k, v in span["attributes"].items())
    return (
        f"{offset_ms:9.1f} ms {span['duration_ms']:9.1f} ms  "
        f"{'  ' * depth}{span['name']} [{span['host']}] {attributes}"
    )


class GatewayStatus(console.EntryCommand):
    """Show what one entry host on a platform believes."""

    name = "gateway status"
    description = "Show what an entry host on a platform believes at this moment."

    def execute_call(self, client):
        """Print the view of the first host that answers."""
        result = client.call(gatewayviews.PATH, {})
        if result.is_error():
            return self.fail(result.error)
        view = operatorcalls.as_struct(result.ok, messages.GatewayView)
        self.print_reply(view, gateway_lines(view))
        return console.EXIT_OK


def gateway_lines(view):
    """Yield the lines of a gateway's view."""
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
        )
    yield "Stage coordinators:"
    yield from (f"  {g}: {address}" for g, address in view.coordinators.items())
    yield from (f"  {n} pieces wait for {p}" for p, n in view.waiting_pieces.items())
    yield "Backend servers:"
    for server in view.servers:
        yield (
            f"  {server.pool} {server.address} {server.data_centre} "
            f"{server.incarnation}: {server.n_in_flight} of this host, "
            f"load {server.load:g}, {server.left_out or 'in use'}"
        )
    yield from (f"Retries of {pool}: {n}" for pool, n in view.retries.items())
