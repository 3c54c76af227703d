"""Policies that choose the server of a pool for the next call."""

import abc
import random

# Servers drawn at random from this host's data centre and from all others together.
N_LOCAL_DRAWN = 4
N_REMOTE_DRAWN = 2
# Cost of a server in another data centre, relative to a local one.
REMOTE_COST_FACTOR = 1.02
# Added to the expected time of a call to another data centre.
CROSS_DATA_CENTRE_MS = 1.0
# Work of processing the prompt, as a number of generated tokens.
PREFILL_UNITS = 4
# Cost of a server that probably caches the prompt's prefix, relative to one that does
# not.
CACHED_COST_FACTOR = 0.88


class Call:
    """What a picker knows about the call that needs a server.

    Parameters
    ----------
    n_units : float
        Work of the call: tokens still to generate for engines, 1 for other stages.
    expected_ms : float
        Expected time of the stage according to the service document.
    remaining_ms : float
        Time left until the request's deadline.
    prefix : int or None
        Hash of the prompt's prefix, for stages on engines.
    """

    __slots__ = ("n_units", "expected_ms", "remaining_ms", "prefix")

    def __init__(
        self, n_units=1, expected_ms=50.0, remaining_ms=float("inf"), prefix=None
    ):
        self.n_units = n_units
        self.expected_ms = expected_ms
        self.remaining_ms = remaining_ms
        self.prefix = prefix


def call_of(request, stage, prefix=None):
    """Return the ``Call`` for one stage of a request.

    Parameters
    ----------
    request : requests.Request
    stage : generated.service.Stage
    prefix : int or None
    """
    remaining_ms = request.deadline.remaining_ms()
    return Call(n_units(stage), stage.expected_ms, remaining_ms, prefix)


def n_units(stage):
    """Return the work of a stage in units: its tokens and prefill, or 1."""
    return stage.max_tokens + PREFILL_UNITS if stage.kind == "engine" else 1


class Picker(abc.ABC):
    """Chooses among the servers that may get new work."""

    @abc.abstractmethod
    def pick(self, choices, tried, call=None):
        """Choose a server.

        Parameters
        ----------
        choices : list of servers.Server
            Servers that may get new work.
        tried : set of str
            Addresses that this call has already been sent to; never chosen again.
        call : Call, optional

        Returns
        -------
        servers.Server or None
        """


class RandomPicker(Picker):
    """Chooses a server uniformly at random; a baseline for the benchmark."""

    __slots__ = ("random",)

    def __init__(self, seed=None):
        self.random = random.Random(seed)

    def pick(self, choices, tried, call=None):
        """Choose a server at random."""
        candidates = untried(choices, tried)
        return self.random.choice(candidates) if candidates else None


class RoundRobinPicker(Picker):
    """Chooses the servers in turn; a baseline for the benchmark."""

    __slots__ = ("turn",)

    def __init__(self):
        self.turn = 0

    def pick(self, choices, tried, call=None):
        """Choose the next server in turn."""
        candidates = untried(choices, tried)
        if not candidates:
            return None
        self.turn += 1
        return candidates[self.turn % len(candidates)]


class TwoChoicesPicker(Picker):
    """Chooses the less loaded of two servers drawn at random."""

    __slots__ = ("random",)

    def __init__(self, seed=None):
        self.random = random.Random(seed)

    def pick(self, choices, tried, call=None):
        """Choose the less loaded of two random servers."""
        candidates = untried(choices, tried)
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        return min(self.random.sample(candidates, 2), key=expected_load)


class ExpectedTimePicker(Picker):
    """Chooses the shortest expected time among a few servers drawn at random.

    The preferred server of the call's prefix is always considered as well. The cost
    of a server that probably caches the prefix is multiplied by
    ``CACHED_COST_FACTOR``, that of a server in another data centre by
    ``REMOTE_COST_FACTOR``.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry host.
    prefixes : prefixes.Prefixes
    seed : int, optional
    n_local_drawn : int
        Servers drawn from this data centre.
    """

    __slots__ = ("data_centre", "prefixes", "random", "n_local_drawn")

    def __init__(self, data_centre, prefixes, seed=None, n_local_drawn=N_LOCAL_DRAWN):
        self.data_centre = data_centre
        self.prefixes = prefixes
        self.random = random.Random(seed)
        self.n_local_drawn = n_local_drawn

    def pick(self, choices, tried, call=None):
        """Choose the server with the shortest expected time."""
        call = call or Call()
        candidates = untried(choices, tried) if tried else choices
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        local = [s for s in candidates if s.data_centre == self.data_centre]
        remote = [s for s in candidates if s.data_centre != self.data_centre]
        drawn = self._draw(local, self.n_local_drawn if local else 0)
        drawn += self._draw(remote, N_REMOTE_DRAWN if local else self.n_local_drawn)
        preferred = self._preferred_server(candidates, call)
        if preferred is not None:
            drawn.append(preferred)
        return min(drawn, key=lambda server: self._cost_ms(server, call, preferred))

    def _draw(self, servers, n_drawn):
        """Return servers drawn at random with replacement, or all if there are few."""
        if len(servers) <= n_drawn:
            return list(servers)
        draw = self.random.random
        return [servers[int(draw() * len(servers))] for _ in range(n_drawn)]

    def _preferred_server(self, servers, call):
        if call.prefix is None:
            return None
        return self.prefixes.preferred_server(call.prefix, servers)

    def _cost_ms(self, server, call, preferred):
        """Return the expected time of a call, weighted by failures, place and cache.

        It is infinite for servers of other data centres that would answer too late.
        """
        unit_ms = call.expected_ms / call.n_units
        cost_ms = server.expected_ms(call.n_units, unit_ms) * (1 + server.n_failures)
        if server.data_centre != self.data_centre:
            if cost_ms + CROSS_DATA_CENTRE_MS > call.remaining_ms:
                return float("inf")
            cost_ms = cost_ms * REMOTE_COST_FACTOR + CROSS_DATA_CENTRE_MS
        if preferred is not None and self.prefixes.is_cached(
            call.prefix, server, preferred
        ):
            cost_ms *= CACHED_COST_FACTOR
        return cost_ms


def expected_load(server):
    """Return the estimated number of calls in flight on a server."""
    return server.load()


def untried(choices, tried):
    """Return the servers that this call has not been sent to yet."""
    return [server for server in choices if server.address not in tried]
