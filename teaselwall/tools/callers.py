"""A caller for the demo, tests and benchmark: asks for addresses, calls, resends."""

import time

import msgspec
import trio

from teaselwall import transport
from teaselwall.generated import messages

MS_PER_S = 1000
ASK_AGAIN_S = 0.1
NS_PER_MS = 1e6


class Call:
    """One call and what came of it.

    Attributes
    ----------
    status : int
        HTTP status, 0 where the connection broke.
    whole : bool
        Whether the answer is there with its end event.
    outcome : str
        ``ran``, ``not_run``, ``unknown``, or empty where nothing was said.
    tokens : list of str
    first_ms, elapsed_ms : float
        First token and end, from the start of the call.
    """

    __slots__ = (
        "service",
        "key",
        "status",
        "whole",
        "outcome",
        "answer",
        "tokens",
        "first_ms",
        "elapsed_ms",
        "retry_after_s",
        "trace",
    )

    def __init__(self, service, key=""):
        self.service = service
        self.key = key
        self.status = 0
        self.whole = False
        self.outcome = ""
        self.answer = None
        self.tokens = []
        self.first_ms = None
        self.elapsed_ms = 0.0
        self.retry_after_s = 0
        self.trace = ""


class AddressBook:
    """The entry hosts that a caller may use, asked for again when they lapse.

    Parameters
    ----------
    calls : transport.Transport
    first : list of str
        Addresses known from the start.
    random : random.Random
    """

    __slots__ = ("calls", "first", "random", "answer", "asked_ns")

    def __init__(self, calls, first, random):
        self.calls = calls
        self.first = first
        self.random = random
        self.answer = None
        self.asked_ns = 0

    async def choose(self):
        """Return the address of an entry host, drawn by weight."""
        answer = await self._current()
        hosts = answer.entry_hosts
        weights = [host.weight for host in hosts]
        return self.random.choices(hosts, weights)[0].address

    async def key_prefix(self):
        """Return the prefix that idempotency keys need."""
        return (await self._current()).key_prefix

    async def _current(self):
        while self._lapsed():
            known = (
                [host.address for host in self.answer.entry_hosts]
                if self.answer
                else []
            )
            for address in known + self.first:
                asked_ns = time.perf_counter_ns()
                answer = await addresses(self.calls, address)
                if answer is not None and answer.entry_hosts:
                    self.answer = answer
                    self.asked_ns = asked_ns
                    break
            else:
                await trio.sleep(ASK_AGAIN_S)
        return self.answer

    def _lapsed(self):
        if self.answer is None:
            return True
        kept_ms = (time.perf_counter_ns() - self.asked_ns) / NS_PER_MS
        return kept_ms >= self.answer.keep_ms


async def addresses(calls, address, timeout_ms=2000):
    """Ask an entry host which hosts to use; None where it does not answer."""
    result = await calls.call("GET", address, "/v1/entry-hosts", None, timeout_ms)
    if result.is_error() or result.ok.status != 200:
        return None
    return result.ok.decode(messages.AddressAnswer)


async def call(calls, address, service, organisation, text, **options):
    """Make one streamed call.

    Parameters
    ----------
    calls : transport.Transport
    address : str
    service, organisation, text : str
    **options
        ``key``, ``deadline_ms`` and ``timeout_ms``.

    Returns
    -------
    Call
    """
    done = Call(service, options.get("key", ""))
    headers = [
        (b"organisation", organisation.encode()),
        (b"accept", b"text/event-stream"),
    ]
    if done.key:
        headers.append((b"idempotency-key", done.key.encode()))
    if "deadline_ms" in options:
        headers.append((b"deadline-ms", str(options["deadline_ms"]).encode()))
    timeout_ms = options.get("timeout_ms", 6000)
    started = time.perf_counter_ns()
    path = f"/v1/services/{service}/requests"
    try:
        with trio.fail_after(timeout_ms / MS_PER_S):
            async with calls.open(
                "POST", address, path, {"input": text}, timeout_ms, headers
            ) as response:
                done.status = response.status
                fields = dict(response.headers)
                done.trace = fields.get(b"trace-id", b"").decode()
                done.retry_after_s = int(fields.get(b"retry-after", b"0"))
                await _read(response, done, started)
    except transport.TRANSPORT_EXCEPTIONS:
        done.whole = False
    done.elapsed_ms = (time.perf_counter_ns() - started) / NS_PER_MS
    return done


async def _read(response, done, started):
    rest = b""
    async for part in response.aiter_stream():
        if response.status != 200:
            rest += part
            continue
        *blocks, rest = (rest + part).split(b"\n\n")
        for block in blocks:
            _take(block, done, started)
    if response.status != 200:
        done.answer = _decode(rest)
        done.outcome = done.answer.get("outcome", "")


def _decode(body):
    try:
        return msgspec.json.decode(body, type=dict)
    except msgspec.DecodeError:
        return {}


def _take(block, done, started):
    name, _, data = block.partition(b"\ndata: ")
    message = msgspec.json.decode(data)
    if name == b"event: tokens":
        if done.first_ms is None:
            done.first_ms = (time.perf_counter_ns() - started) / NS_PER_MS
        done.tokens.extend(message)
    elif name == b"event: end":
        done.answer = message
        done.outcome = message["outcome"]
        done.whole = True
    elif name == b"event: problem":
        done.answer = message
        done.outcome = message["outcome"]
