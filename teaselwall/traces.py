"""Trace spans of requests and attempts: kept in memory and exported."""

import collections

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace import propagation
from opentelemetry.trace.propagation import tracecontext

_propagator = tracecontext.TraceContextTextMapPropagator()
NS_PER_MS = 1_000_000


class KeptSpans(sdk_trace.SpanProcessor):
    """Keeps the finished spans of the newest traces for ``teaselwall trace``.

    Parameters
    ----------
    n_traces : int
        Number of traces kept; the oldest is dropped first. 0 keeps none.

    Attributes
    ----------
    spans : collections.OrderedDict of str to list of dict
        Spans by trace id, the oldest trace first.
    """

    __slots__ = ("n_traces", "spans")

    def __init__(self, n_traces):
        self.n_traces = n_traces
        self.spans = collections.OrderedDict()

    def on_end(self, span):
        """Store a finished span; OpenTelemetry calls it when a span ends."""
        if not self.n_traces:
            return
        trace_id = f"{span.context.trace_id:032x}"
        self.spans.setdefault(trace_id, []).append(_as_dict(span))
        while len(self.spans) > self.n_traces:
            self.spans.popitem(last=False)


class Tracer:
    """Creates the spans of one entry host.

    Parameters
    ----------
    settings : generated.settings.TraceSettings
    host : str
        Name of the entry host.

    Attributes
    ----------
    kept_spans : KeptSpans
    stream : file or None
        File that spans are exported to, if the settings name one.
    """

    __slots__ = ("provider", "tracer", "kept_spans", "stream")

    def __init__(self, settings, host):
        resource = resources.Resource({"service.name": "teaselwall", "host": host})
        self.provider = sdk_trace.TracerProvider(
            resource=resource, shutdown_on_exit=False
        )
        self.kept_spans = KeptSpans(settings.n_kept)
        self.provider.add_span_processor(self.kept_spans)
        self.stream = None
        exporter = self._exporter(settings)
        if exporter is not None:
            self.provider.add_span_processor(export.BatchSpanProcessor(exporter))
        self.tracer = self.provider.get_tracer("teaselwall")

    def _exporter(self, settings):
        if settings.exporter == "console":
            return export.ConsoleSpanExporter()
        if settings.exporter == "file":
            self.stream = open(settings.file, "a", encoding="utf-8")  # noqa: SIM115
            return export.ConsoleSpanExporter(out=self.stream)
        return None

    def start(self, name, parent=None, **attributes):
        """Start a span under a parent span or a remote context.

        Parameters
        ----------
        name : str
        parent : opentelemetry.trace.Span or opentelemetry.context.Context, optional
        **attributes
        """
        if isinstance(parent, trace.Span):
            parent = propagation.set_span_in_context(parent)
        return self.tracer.start_span(name, context=parent, attributes=attributes)

    def close(self):
        """Export the remaining spans and close the export file."""
        self.provider.shutdown()
        if self.stream is not None:
            self.stream.close()


def remote_context(traceparent):
    """Return the trace context of a ``traceparent`` header; None if it is empty."""
    if not traceparent:
        return None
    return _propagator.extract({"traceparent": traceparent})


def traceparent_header(span):
    """Return the ``traceparent`` header that carries a span, as a pair of bytes."""
    context = span.get_span_context()
    value = f"00-{context.trace_id:032x}-{context.span_id:016x}-01"
    return (b"traceparent", value.encode())


def trace_id(span):
    """Return a span's trace id in hexadecimal."""
    return f"{span.get_span_context().trace_id:032x}"


def record_failure(span, error):
    """Set the attributes ``error`` and ``outcome`` of a span from a typed error."""
    span.set_attribute("error", type(error).__name__)
    span.set_attribute("outcome", error.outcome.value)


def _as_dict(span):
    return {
        "name": span.name,
        "span": f"{span.context.span_id:016x}",
        "parent": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_ms": span.start_time / NS_PER_MS,
        "duration_ms": (span.end_time - span.start_time) / NS_PER_MS,
        "attributes": dict(span.attributes or {}),
    }
