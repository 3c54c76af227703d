"""Callers of the soak: they send requests to entry hosts and keep the responses."""

import json
import random
import time

import trio

from teaselwall.tools import soak_checks, soak_configuration

# With so many callers and this mean pause, some 50 requests a second are sent.
N_CALLERS = 30
MEAN_PAUSE_S = 0.3
# The users' callers also wait 1 s for a connection and keep addresses for 1 s.
CONNECT_TIMEOUT_S = 1.0
ADDRESSES_KEPT_S = 1.0
MAX_RESPONSE_BYTES = 1 << 20
# Share of the streams that last for seconds, so that faults meet them.
LONG_SHARE = 0.4
LONG_EVENTS, LONG_INTERVAL_MS = 24, 70
# Of these, the share that a stop of a host may not outlast.
LONGEST_SHARE = 0.25
LONGEST_EVENTS = 75
# Pieces header of requests whose route has stages: pieces of each stage.
PIECES = "2,1"
# Share of the requests whose key may have been taken away.
REVOKED_KEY_SHARE = 0.1
# Prompts begin with one of these parts, which requests share, then one of more.
FIRST_PARTS = ("f1", "f2", "f3")
N_SECOND_PARTS = 20


class Callers:
    """Callers that resolve addresses and reuse connections.

    They never send a request again, but may take up a broken stream at another host.

    Parameters
    ----------
    fleet : soak_fleet.Fleet
    seed : int
        Decides pauses, hosts, kinds and keys of the requests.

    Attributes
    ----------
    requests : list of soak_checks.Request
        All requests sent.
    revoked_s : dict of str to float
        When the store accepted the configuration without an API key; infinite until
        the write is acknowledged. Set by ``soak_faults.Faults``.
    closing : bool
        Whether no more requests are sent.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.requests = []
        self.revoked_s = {}
        self.closing = False

    async def until_idle(self):
        """Wait until every request that was sent has ended."""
        while not all(request.ended_s for request in self.requests):
            await trio.sleep(0.05)

    async def run(self):
        """Send the requests of one caller until cancelled or until no more are sent."""
        stream, kept_until_s, hosts, host = None, 0.0, [], None
        while not self.closing:
            await trio.sleep(self.random.uniform(0.5, 1.5) * MEAN_PAUSE_S)
            now_s = time.monotonic()
            if now_s > kept_until_s:
                hosts = await self._resolve() or hosts
                kept_until_s = now_s + ADDRESSES_KEPT_S
            if stream is None and hosts:
                host = self.random.choice(hosts)
                stream = await connect(host.callers)
            if stream is not None and not await self._send_one(host, stream):
                await trio.aclose_forcefully(stream)
                stream = None

    async def _resolve(self):
        """Return the hosts that the directory names."""
        for host in self.random.sample(self.fleet.hosts, 3):
            stream = await connect(host.directory)
            if stream is None:
                continue
            lookup = soak_checks.Request("", "resolve", "", time.monotonic())
            head = "GET /v1/resolve?name=soak.example&zone=z1"
            await exchange(stream, lookup, head, {}, CONNECT_TIMEOUT_S)
            await trio.aclose_forcefully(stream)
            if lookup.status == 200:
                addresses = json.loads(lookup.body)["addresses"]
                return [h for h in self.fleet.hosts if h.callers in addresses]
        return []

    async def _send_one(self, host, stream):
        """Send one request; return whether the connection may be reused."""
        kind = self.random.choice(tuple(soak_configuration.ROUTE_KINDS))
        keys = self.valid_keys()
        if self.random.random() < REVOKED_KEY_SHARE:
            keys = list(soak_configuration.API_KEYS.values())
        request = self.new_request(kind, self.random.choice(keys), host)
        if kind in soak_checks.STREAM_KINDS and self.random.random() < LONG_SHARE:
            is_longest = self.random.random() < LONGEST_SHARE
            request.n_events = LONGEST_EVENTS if is_longest else LONG_EVENTS
        reusable = await self.send(request, stream)
        is_broken = 0 < len(request.events[0]) < request.n_events
        if kind == "resume" and is_broken and not self.closing:
            await self._take_up(request)
        return reusable

    async def _take_up(self, origin):
        """Have a broken stream go on at any host."""
        host = self.random.choice(self.fleet.hosts)
        stream = await connect(host.callers)
        if stream is None:
            return
        request = self.new_request(origin.kind, origin.key, host)
        request.origin = origin
        request.parts = origin.parts
        request.n_events = origin.n_events
        await self.send(request, stream)
        await trio.aclose_forcefully(stream)

    def valid_keys(self):
        """Return the API keys that were not taken away."""
        return [
            k for k in soak_configuration.API_KEYS.values() if k not in self.revoked_s
        ]

    async def send_crashing(self, host, key):
        """Send one request that ends the server that begins to answer it."""
        stream = await connect(host.callers)
        if stream is None:
            return
        kind = self.random.choice(soak_checks.STREAM_KINDS)
        request = self.new_request(kind, key, host)
        _, second, own = request.parts
        middle = [soak_checks.CRASH_PART, second]
        self.random.shuffle(middle)
        request.parts = (FIRST_PARTS[0], *middle, own)
        await self.send(request, stream)
        await trio.aclose_forcefully(stream)

    async def send_crashing_content(self, host, key):
        """Send a request that ends its server, the same one each time."""
        stream = await connect(host.callers)
        if stream is None:
            return
        request = self.new_request("resume", key, host)
        request.content = "same"
        request.parts = (FIRST_PARTS[0], "s0", soak_checks.CRASH_PART)
        await self.send(request, stream)
        await trio.aclose_forcefully(stream)

    def new_request(self, kind, key, host):
        """Return a request with an id of its own and add it to those sent."""
        request = soak_checks.Request(
            f"r{len(self.requests)}", kind, key, time.monotonic(), host=host.name
        )
        request.parts = (
            self.random.choice(FIRST_PARTS),
            f"s{self.random.randrange(N_SECOND_PARTS)}",
            f"own{request.id}",
        )
        self.requests.append(request)
        return request

    async def send(self, request, stream):
        """Send a request and read its response; return whether to reuse the stream."""
        limit_s = soak_configuration.TIMEOUTS_S[request.kind]
        headers = {
            "Request-Id": request.id,
            "Deadline-Ms": str(int(limit_s * 1000)),
            "Authorization": f"Bearer {request.key}",
            "Content-Length": "0",
        }
        query = ""
        if request.kind in soak_checks.STREAM_KINDS:
            headers |= {"Pieces": PIECES, "Piece-Key": request.id}
            headers["Prompt-Prefix"] = ",".join(f"{part}:100" for part in request.parts)
            if request.origin is not None:
                headers["Last-Event-Id"] = str(request.first_event - 1)
                headers["Resumes"] = request.origin.id
            if request.n_events != soak_checks.N_EVENTS:
                query = f"?events={request.n_events}&interval_ms={LONG_INTERVAL_MS}"
        head = f"POST /{request.kind}/{request.content or request.id}{query}"
        return await exchange(stream, request, head, headers, limit_s)


async def connect(address):
    """Return a stream to an address, or None if there is no connection in time."""
    host, _, port = address.rpartition(":")
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            return await trio.open_tcp_stream(host, int(port))
        except OSError:
            # The host is down; the caller tries another host.
            return None
    return None


async def exchange(stream, request, head, headers, timeout_s):
    """Send a request and read its response into ``request``.

    Returns
    -------
    bool
        Whether the connection may be reused.
    """
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    message = f"{head} HTTP/1.1\r\nHost: soak.example\r\n{''.join(lines)}\r\n"
    data = b""
    with trio.move_on_after(timeout_s) as scope:
        try:
            await stream.send_all(message.encode())
            request.written_s = time.monotonic()
            while not soak_checks.is_complete(data):
                chunk = await stream.receive_some(65536)
                if not chunk or len(data) > MAX_RESPONSE_BYTES:
                    break
                data += chunk
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The bytes received before the connection broke are still parsed.
            pass
    response = soak_checks.parse_response(data)
    request.status, request.body, request.complete, reusable = response
    request.ended_s = time.monotonic()
    request.timed_out = scope.cancelled_caught
    return reusable
