"""Chooses servers so that many hosts with the same old reports share them evenly.

Each host works out how the requests that all hosts have sent since the reports would
fill the servers, if all hosts filled the cheapest first, and draws a server in
proportion to its part of them.
"""

import math
import random

# Least scale of the random part of a cost, so that equal servers are drawn evenly.
MIN_DEPTH_MS = 0.01
# The random part of a cost is at most this many times its scale.
MAX_DRAWN = 4.0


class Option:
    """A server that may get a request, and what the request would cost there.

    Parameters
    ----------
    server : servers.Server
    load_ms : float
        Expected time there that a request of any caller would have now.
    step_ms : float
        How much each further request adds to it while a place is free.
    n_free : float
        Expected number of free places; negative if requests wait.
    n_doubtful : float
        How many of the last places may have been taken since the report.
    full_ms : float
        What a request that waits for a place costs more than one that doesn't.
    wait_ms : float
        How much each request that waits adds for the next.
    own_ms : float
        What sets this request apart from others there: less for cached parts of its
        prompt, more for inputs that are far away.

    Attributes
    ----------
    cost_ms : float
        Expected time of one more request of any caller.
    segments : list of (float, float, float)
        Parts in which the cost grows evenly with further requests: cost at the start
        and the end, in ms, and requests that raise it by 1 ms.
    """

    __slots__ = ("server", "load_ms", "own_ms", "cost_ms", "segments")

    def __init__(
        self,
        server,
        load_ms,
        step_ms,
        n_free,
        n_doubtful,
        full_ms,
        wait_ms,
        own_ms=0.0,
    ):
        self.server = server
        self.load_ms = load_ms
        self.own_ms = own_ms
        step_ms = max(step_ms, MIN_DEPTH_MS)
        wait_ms = max(wait_ms, MIN_DEPTH_MS)
        n_doubtful = max(n_doubtful, 1.0)
        self.segments = []
        if n_free <= 0:
            self.cost_ms = load_ms + full_ms - wait_ms * n_free
            self.segments.append((self.cost_ms, math.inf, 1 / wait_ms))
            return
        at_ms = load_ms
        if n_free > n_doubtful:
            end_ms = at_ms + (n_free - n_doubtful) * step_ms
            self.segments.append((at_ms, end_ms, 1 / step_ms))
            at_ms, n_free = end_ms, n_doubtful
            self.cost_ms = load_ms
        else:
            at_ms += full_ms * (1.0 - n_free / n_doubtful)
            self.cost_ms = at_ms
        each_ms = step_ms + full_ms / n_doubtful
        end_ms = at_ms + n_free * each_ms
        self.segments.append((at_ms, end_ms, 1 / each_ms))
        self.segments.append((end_ms, math.inf, 1 / wait_ms))

    def n_below(self, level_ms):
        """Return how many requests it takes until its cost reaches a level."""
        n_requests = 0.0
        for from_ms, to_ms, per_ms in self.segments:
            if level_ms <= from_ms:
                break
            n_requests += (min(level_ms, to_ms) - from_ms) * per_ms
        return n_requests


def level_ms(options, n_requests):
    """Return the cost that all used servers have after requests filled the cheapest.

    Parameters
    ----------
    options : list of Option
    n_requests : float
        Above 0.
    """
    edges = []
    for option in options:
        for from_ms, to_ms, per_ms in option.segments:
            edges.append((from_ms, per_ms))
            if to_ms < math.inf:
                edges.append((to_ms, -per_ms))
    edges.sort()
    at_ms, per_ms, n_left = edges[0][0], 0.0, n_requests
    for edge_ms, change in edges:
        n_here = per_ms * (edge_ms - at_ms)
        if n_here >= n_left:
            break
        n_left -= n_here
        at_ms = edge_ms
        per_ms += change
    return at_ms + n_left / per_ms


def choose(options, n_unseen, draw=random.random):
    """Choose one of the options.

    Parameters
    ----------
    options : list of Option
        Not empty.
    n_unseen : float
        Requests that all hosts have probably sent to these servers since the reports.
    draw : callable, optional
        Returns a random number from 0 to 1.

    Returns
    -------
    Option
    """
    level = level_ms(options, n_unseen + 1.0)
    parts = [option.n_below(level) for option in options]
    mean_part = sum(parts) / len(parts)
    depth_ms = max(MIN_DEPTH_MS, level - min(option.load_ms for option in options))
    best, best_ms = None, math.inf
    for option, part in zip(options, parts, strict=True):
        # The least of exponential draws falls on each server in proportion to its part.
        drawn = MAX_DRAWN
        if part > 0:
            drawn = min(MAX_DRAWN, -math.log(1.0 - draw()) * mean_part / part)
        over_ms = max(0.0, option.cost_ms - level)
        cost_ms = option.own_ms + over_ms + drawn * depth_ms
        if cost_ms < best_ms:
            best, best_ms = option, cost_ms
    return best
