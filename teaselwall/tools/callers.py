"""Client of the entry hosts for the demo, tests and benchmarks.

It asks for the addresses of entry hosts and makes streamed calls.
"""

import time

import msgspec
import trio

from teaselwall import transport
from teaselwall.generated import messages

MS_PER_S = 1000
RETRY_INTERVAL_S = 0.1  # after no entry host gave an address
NS_PER_MS = 1e6


class Call:
    """One call and its result.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no response came.
    whole : bool
        Whether the stream arrived up to its ``end`` event.
    outcome : str
        ``ran``, ``not_run``, ``unknown``, or empty if no answer or problem came.
    answer : dict or None
        Data of the ``end`` or ``problem`` event, or the body of an error response.
    tokens : list of str
    first_ms : float or None
        Time of the first token, from the start of the call.
    elapsed_ms : float
        Time of the end, from the start of the call.
    retry_after_s : int
    trace : str
        Trace id; empty if the response has none.
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
    """The entry hosts that a caller may use, asked for again when the list expires.

    Parameters
    ----------
    client : transport.Transport
    initial_addresses : list of str
        Addresses of entry hosts to ask first.
    random : random.Random

    Attributes
    ----------
    answer : messages.AddressAnswer or None
        The newest list.
    asked_ns : int
        When it was asked for.
    """

    __slots__ = ("client", "initial_addresses", "random", "answer", "asked_ns")

    def __init__(self, client, initial_addresses, random):
        self.client = client
        self.initial_addresses = initial_addresses
        self.random = random
        self.answer = None
        self.asked_ns = 0

    async def choose(self):
        """Return the address of an entry host, chosen at random by weight."""
        answer = await self._current()
        hosts = answer.entry_hosts
        weights = [host.weight for host in hosts]
        return self.random.choices(hosts, weights)[0].address

    async def key_prefix(self):
        """Return the prefix that idempotency keys must have."""
        return (await self._current()).key_prefix

    async def _current(self):
        while self._is_expired():
            known = (
                [host.address for host in self.answer.entry_hosts]
                if self.answer
                else []
            )
            for address in known + self.initial_addresses:
                asked_ns = time.perf_counter_ns()
                answer = await addresses(self.client, address)
                if answer is not None and answer.entry_hosts:
                    self.answer = answer
                    self.asked_ns = asked_ns
                    break
            else:
                await trio.sleep(RETRY_INTERVAL_S)
        return self.answer

    def _is_expired(self):
        if self.answer is None:
            return True
        kept_ms = (time.perf_counter_ns() - self.asked_ns) / NS_PER_MS
        return kept_ms >= self.answer.keep_ms


async def addresses(client, address, timeout_ms=2000):
    """Ask an entry host which entry hosts to use; return None if it does not answer."""
    result = await client.call("GET", address, "/v1/entry-hosts", None, timeout_ms)
    if result.is_error() or result.ok.status != 200:
        return None
    return result.ok.decode(messages.AddressAnswer)


async def call(client, address, service, organisation, text, **options):
    """Make one streamed call.

    Parameters
    ----------
    client : transport.Transport
    address : str
    service, organisation, text : str
    **options
        ``key`` (idempotency key), ``deadline_ms`` and ``timeout_ms``.

    Returns
    -------
    Call
    """
    result = Call(service, options.get("key", ""))
    headers = [
        (b"organisation", organisation.encode()),
        (b"accept", b"text/event-stream"),
    ]
    if result.key:
        headers.append((b"idempotency-key", result.key.encode()))
    if "deadline_ms" in options:
        headers.append((b"deadline-ms", str(options["deadline_ms"]).encode()))
    timeout_ms = options.get("timeout_ms", 6000)
    started_ns = time.perf_counter_ns()
    path = f"/v1/services/{service}/requests"
    try:
        with trio.fail_after(timeout_ms / MS_PER_S):
            async with client.open(
                "POST", address, path, {"input": text}, timeout_ms, headers
            ) as response:
                result.status = response.status
                fields = dict(response.headers)
                result.trace = fields.get(b"trace-id", b"").decode()
                result.retry_after_s = int(fields.get(b"retry-after", b"0"))
                await _read(response, result, started_ns)
    except transport.TRANSPORT_EXCEPTIONS:
        result.whole = False
    result.elapsed_ms = (time.perf_counter_ns() - started_ns) / NS_PER_MS
    return result


async def _read(response, result, started_ns):
    unparsed = b""
    async for part in response.aiter_stream():
        if response.status != 200:
            unparsed += part
            continue
        *blocks, unparsed = (unparsed + part).split(b"\n\n")
        for block in blocks:
            _apply_event(block, result, started_ns)
    if response.status != 200:
        result.answer = _decode_problem(unparsed)
        result.outcome = result.answer.get("outcome", "")


def _decode_problem(body):
    try:
        return msgspec.json.decode(body, type=dict)
    except msgspec.DecodeError:
        return {}


def _apply_event(block, result, started_ns):
    name, _, data = block.partition(b"\ndata: ")
    message = msgspec.json.decode(data)
    if name == b"event: tokens":
        if result.first_ms is None:
            result.first_ms = (time.perf_counter_ns() - started_ns) / NS_PER_MS
        result.tokens.extend(message)
    elif name == b"event: end":
        result.answer = message
        result.outcome = message["outcome"]
        result.whole = True
    elif name == b"event: problem":
        result.answer = message
        result.outcome = message["outcome"]
