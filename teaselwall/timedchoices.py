"""Chooses servers by expected time, where they say how slow they are at the moment."""

import math
import random

from teaselwall import evenload, pickers, poolloads, poolspeeds

# Cost of each byte of stage results that crosses data centres, in prompt tokens.
TOKENS_PER_REMOTE_BYTE = 0.002
# Servers drawn at random for a request, besides those preferred.
N_DRAWN = 8
# Requests that are counted as held up while an idle pool reads a prompt, and the share
# of places in use from which none are.
MAX_HELD_UP = 3.0
SCARCE_UTILISATION = 0.5
# Standard deviations of the load since a report that are left free where possible.
N_DEVIATIONS = 2.0


class Work:
    """What a request asks of its server.

    Attributes
    ----------
    n_tokens : int
        Tokens of its prompt; 0 without one.
    n_cached : callable
        ``n_cached(server)`` returns how many of them the server probably has cached.
    preferred : list of servers.Server
        Servers that are considered in any case.
    data_centre : str
        Data centre of the results that the server has to fetch; empty without any.
    n_bytes : int
        Their size.
    """

    __slots__ = ("n_tokens", "n_cached", "preferred", "data_centre", "n_bytes")

    def __init__(
        self, n_tokens=0, n_cached=None, preferred=(), data_centre="", n_bytes=0
    ):
        self.n_tokens = n_tokens
        self.n_cached = n_cached or (lambda server: 0)
        self.preferred = preferred
        self.data_centre = data_centre
        self.n_bytes = n_bytes


class Sent:
    """A request as it was sent to a server, to learn from its answer.

    Attributes
    ----------
    n_tokens : int
        Prompt tokens that the server probably had to read.
    load : float
        Requests expected to be in progress there.
    age_ms : float
        Age of the report that this rests on.
    slowness : float
        ``Slowness.factor`` of its machine.
    sent_ms : float
        Time on the clock.
    """

    __slots__ = ("server", "n_tokens", "load", "age_ms", "slowness", "sent_ms")

    def __init__(self, server, n_tokens, load, sent_ms):
        self.server = server
        self.n_tokens = n_tokens
        self.load = load
        self.age_ms = server.report_age_ms()
        self.slowness = server.slowness.factor()
        self.sent_ms = sent_ms


class TimedChoices:
    """Chooses servers by expected time and learns from their answers.

    Parameters
    ----------
    clock : clock.Clock
    data_centre : str
        Data centre of this entry host.
    n_hosts : callable
        Returns the number of entry hosts.
    metrics : metrics.Metrics
    draw : callable, optional
        Returns a random number from 0 to 1.

    Attributes
    ----------
    speeds : dict of str to poolspeeds.PoolSpeeds
        By pool.
    """

    __slots__ = ("clock", "data_centre", "n_hosts", "metrics", "draw", "speeds")

    def __init__(self, clock, data_centre, n_hosts, metrics, draw=random.random):
        self.clock = clock
        self.data_centre = data_centre
        self.n_hosts = n_hosts
        self.metrics = metrics
        self.draw = draw
        self.speeds = {}

    def choose(self, pool, servers, work):
        """Return a server for a request, or None if there is none.

        Parameters
        ----------
        pool : routes.Pool
        servers : list of servers.Server
            Those that may get the request.
        work : Work
        """
        if len(servers) < 2:
            return servers[0] if servers else None
        speeds = self._speeds(pool.name)
        servers = self._considered(servers, work.preferred)
        loads = poolloads.PoolLoads(servers, pool.n_places, speeds.occupancy_ms)
        options = self._options(pool, loads, speeds, work)
        n_unseen = loads.n_unseen(self.n_hosts())
        self.metrics.observe_ms("choice_load_age_ms", loads.age_ms, pool=pool.name)
        return evenload.choose(options, n_unseen, self.draw).server

    def record_sent(self, pool, server, work):
        """Return a ``Sent``; call it right before the request counts as in flight."""
        n_tokens = work.n_tokens - work.n_cached(server)
        if n_tokens:
            self._speeds(pool.name).record_tokens(n_tokens)
        return Sent(server, n_tokens, server.load(), self.clock.now_ms())

    def record_answer(self, pool, sent, first_ms, ended_ms):
        """Learn from a whole answer.

        Parameters
        ----------
        pool : routes.Pool
        sent : Sent
        first_ms, ended_ms : float
            Times on the clock at which its first part and its end arrived.
        """
        if not sent.server.slowness.is_stated:
            return
        speeds = self._speeds(pool.name)
        speeds.record_occupancy(ended_ms - sent.sent_ms)
        server = sent.server
        load = sent.load
        if server.reported_ms >= sent.sent_ms:
            load = server.report.in_flight - 1
            is_full = load >= server.capacity()
            self.metrics.count("load_told", pool=pool.name, full=str(is_full).lower())
            if is_full:
                # Of its time, an unknown part was spent waiting for a place.
                return
        slowness = (sent.slowness + server.slowness.factor()) / 2
        elapsed_ms = (first_ms - sent.sent_ms) / slowness
        speeds.record_answer(server, sent.n_tokens, max(0.0, load), elapsed_ms)

    def _considered(self, servers, preferred):
        """Return servers drawn at random, with those preferred, or all if few."""
        if len(servers) <= N_DRAWN:
            return servers
        n_drawn = int(self.draw() * len(servers))
        # Neighbours in the list are in different data centres at random.
        drawn = [*servers, *servers][n_drawn : n_drawn + N_DRAWN]
        for server in preferred:
            if server not in drawn:
                drawn.append(server)
        return drawn

    def _speeds(self, pool):
        speeds = self.speeds.get(pool)
        if speeds is None:
            speeds = self.speeds[pool] = poolspeeds.PoolSpeeds()
        return speeds

    def _options(self, pool, loads, speeds, work):
        options = []
        memory_places = float("inf")
        if pool.memory_tokens:
            memory_places = pool.memory_tokens / max(1.0, speeds.n_tokens)
        expected = loads.expected()
        # Reading a prompt again holds up the requests beside it, and so does fetching
        # results from afar. This counts while there is room; where places get scarce,
        # even load is worth more.
        room = max(0.0, 1.0 - loads.utilisation / SCARCE_UTILISATION)
        held_up_ms = speeds.token_ms * MAX_HELD_UP * room
        for server, load, n_changed, n_places in zip(
            loads.servers, expected, loads.n_changed(), loads.n_places, strict=True
        ):
            n_places = max(1.0, min(n_places, memory_places))
            factor = speeds.factor(server) * server.slowness.factor()
            n_running = min(load, n_places)
            occupancy_ms = speeds.occupancy_ms * factor
            token_ms = speeds.token_ms * factor + held_up_ms
            options.append(
                evenload.Option(
                    server,
                    factor * speeds.answer_ms(work.n_tokens, n_running),
                    factor * speeds.place_ms,
                    n_places - load,
                    N_DEVIATIONS * math.sqrt(n_changed),
                    # No cached part is worth a wait for a place.
                    occupancy_ms + token_ms * work.n_tokens,
                    occupancy_ms / n_places,
                    self._own_ms(server, token_ms, work)
                    + server.n_failures * speeds.occupancy_ms,
                )
            )
        return options

    def _own_ms(self, server, token_ms, work):
        """Return what sets a request apart from others at a server, in ms."""
        own_ms = -token_ms * work.n_cached(server)
        if server.data_centre != self.data_centre:
            own_ms += pickers.CROSS_DATA_CENTRE_MS
        if work.data_centre and server.data_centre != work.data_centre:
            own_ms += token_ms * TOKENS_PER_REMOTE_BYTE * work.n_bytes
        return own_ms
