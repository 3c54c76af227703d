"""Which server of a pool gets the next call."""

import abc
import random

N_NEAR = 4
N_FAR = 2
SPILL_FACTOR = 1.02
CROSSING_MS = 1.0
PREFILL_UNITS = 4
CACHED_FACTOR = 0.88


class Call:
    """What a picker knows of the call to be placed.

    Parameters
    ----------
    n_units : float
        Work of the call: tokens to come for engines, 1 for other stages.
    expected_ms : float
        Time that the service document expects of the stage.
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
    """Return the picker's view of one stage of a request.

    Parameters
    ----------
    request : requests.Request
    stage : generated.service.Stage
    prefix : int or None
    """
    remaining_ms = request.deadline.remaining_ms()
    return Call(n_units(stage), stage.expected_ms, remaining_ms, prefix)


def n_units(stage):
    """Return the work of a stage in units: its tokens, or 1."""
    return stage.max_tokens + PREFILL_UNITS if stage.kind == "engine" else 1


class Picker(abc.ABC):
    """Chooses a server among those that may get new work."""

    @abc.abstractmethod
    def pick(self, choices, tried, call=None):
        """Choose a server.

        Parameters
        ----------
        choices : list of servers.Server
            Servers that may get new work.
        tried : set of str
            Addresses this call has already been sent to; not taken again.
        call : Call, optional

        Returns
        -------
        servers.Server or None
        """


class RandomPicker(Picker):
    """Any server with equal probability; the benchmark's baseline."""

    __slots__ = ("random",)

    def __init__(self, seed=None):
        self.random = random.Random(seed)

    def pick(self, choices, tried, call=None):
        """Choose a server at random."""
        fresh = untried(choices, tried)
        return self.random.choice(fresh) if fresh else None


class RoundRobinPicker(Picker):
    """Each server in turn; the benchmark's baseline."""

    __slots__ = ("turn",)

    def __init__(self):
        self.turn = 0

    def pick(self, choices, tried, call=None):
        """Choose the next server in turn."""
        fresh = untried(choices, tried)
        if not fresh:
            return None
        self.turn += 1
        return fresh[self.turn % len(fresh)]


class TwoChoicesPicker(Picker):
    """The less loaded of two servers drawn at random."""

    __slots__ = ("random",)

    def __init__(self, seed=None):
        self.random = random.Random(seed)

    def pick(self, choices, tried, call=None):
        """Choose the less loaded of two random servers."""
        fresh = untried(choices, tried)
        if len(fresh) < 2:
            return fresh[0] if fresh else None
        return min(self.random.sample(fresh, 2), key=expected_load)


class ExpectedTimePicker(Picker):
    """The shortest expected completion time of a few servers drawn at random.

    The server that probably caches the call's prefix is always among them; another
    one has to be faster by ``CACHED_FACTOR``. Servers of other data centres take
    calls only where they are faster by ``SPILL_FACTOR``.

    Parameters
    ----------
    data_centre : str
        That of this entry host.
    prefixes : prefixes.Prefixes
    seed : int, optional
    n_near : int
        Servers drawn from this data centre.
    """

    __slots__ = ("data_centre", "prefixes", "random", "n_near")

    def __init__(self, data_centre, prefixes, seed=None, n_near=N_NEAR):
        self.data_centre = data_centre
        self.prefixes = prefixes
        self.random = random.Random(seed)
        self.n_near = n_near

    def pick(self, choices, tried, call=None):
        """Choose the server with the shortest expected time."""
        call = call or Call()
        fresh = untried(choices, tried) if tried else choices
        if len(fresh) < 2:
            return fresh[0] if fresh else None
        near = [s for s in fresh if s.data_centre == self.data_centre]
        far = [s for s in fresh if s.data_centre != self.data_centre]
        drawn = self._draw(near, self.n_near if near else 0)
        drawn += self._draw(far, N_FAR if near else self.n_near)
        home = self._home(fresh, call)
        if home is not None:
            drawn.append(home)
        return min(drawn, key=lambda server: self._cost_ms(server, call, home))

    def _draw(self, servers, n_drawn):
        if len(servers) <= n_drawn:
            return list(servers)
        draw = self.random.random
        return [servers[int(draw() * len(servers))] for _ in range(n_drawn)]

    def _home(self, servers, call):
        if call.prefix is None:
            return None
        return self.prefixes.home(call.prefix, servers)

    def _cost_ms(self, server, call, home):
        unit_ms = call.expected_ms / call.n_units
        cost_ms = server.expected_ms(call.n_units, unit_ms) * (1 + server.n_failures)
        if server.data_centre != self.data_centre:
            if cost_ms + CROSSING_MS > call.remaining_ms:
                return float("inf")
            cost_ms = cost_ms * SPILL_FACTOR + CROSSING_MS
        if home is not None and self.prefixes.cached(call.prefix, server, home):
            cost_ms *= CACHED_FACTOR
        return cost_ms


def expected_load(server):
    """Return the load used for comparison: own calls in flight and the report."""
    return server.load()


def untried(choices, tried):
    """Return the servers not tried yet."""
    return [server for server in choices if server.address not in tried]
