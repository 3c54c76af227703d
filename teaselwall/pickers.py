"""Which server of a pool gets the next call."""

import abc
import random


class Picker(abc.ABC):
    """Chooses a server among those that may get new work."""

    @abc.abstractmethod
    def pick(self, choices, tried):
        """Choose a server.

        Parameters
        ----------
        choices : list of servers.Server
            Servers that may get new work.
        tried : set of str
            Addresses this call has already been sent to; taken last.

        Returns
        -------
        servers.Server or None
        """


class RandomPicker(Picker):
    """Any server with equal probability; the benchmark's baseline."""

    __slots__ = ("random",)

    def __init__(self, seed=None):
        self.random = random.Random(seed)

    def pick(self, choices, tried):
        """Choose a server at random."""
        fresh = untried(choices, tried)
        return self.random.choice(fresh) if fresh else None


class RoundRobinPicker(Picker):
    """Each server in turn; the benchmark's baseline."""

    __slots__ = ("turn",)

    def __init__(self):
        self.turn = 0

    def pick(self, choices, tried):
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

    def pick(self, choices, tried):
        """Choose the less loaded of two random servers."""
        fresh = untried(choices, tried)
        if len(fresh) < 2:
            return fresh[0] if fresh else None
        return min(self.random.sample(fresh, 2), key=expected_load)


def expected_load(server):
    """Return the load used for comparison: own calls in flight and the report."""
    reported = server.report.in_flight if server.report else 0
    return max(server.in_flight, reported)


def untried(choices, tried):
    """Return the servers not tried yet."""
    return [server for server in choices if server.address not in tried]
