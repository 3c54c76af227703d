"""Chooses the model engine for a request."""

import collections

import xxhash

from teaselwall import timedchoices

# Costs are counted in prompt tokens that an engine has to read. A request in progress
# on an engine adds this much, as it slows each step of the others a little.
IN_PROGRESS_TOKENS = 60
# Cost of each request that waits at an engine beyond its capacity.
WAITING_TOKENS = 4000
# Share of the prompt parts cached at a home that its second home probably has cached.
SECOND_HOME_SHARE = 0.5
# Engines considered for the prompt parts that they have cached, the home among them.
MAX_PREFERRED = 4
# Prompt parts remembered for each engine at most.
MAX_PARTS_PER_ENGINE = 4000
# Cost of each failure in a row: more than reading the longest usual prompt.
FAILURE_TOKENS = 20000


class EngineChoices:
    """Chooses engines by cached prompt parts, load and data centre of the inputs.

    All entry hosts prefer the same engine for a session, by rendezvous hashing of the
    last prompt part that its requests share.

    Attributes
    ----------
    sent_parts : dict of str to collections.OrderedDict
        Ids of the prompt parts sent to each engine, by its incarnation, the latest
        last.
    """

    __slots__ = ("sent_parts",)

    def __init__(self):
        self.sent_parts = {}

    def home_engine(self, parts, engines):
        """Return the engine that probably has a session's prompt cached, or None."""
        if not engines:
            return None
        session = session_id(parts)
        return max(engines, key=lambda engine: _rank(engine, session))

    def choose(self, parts, engines, data_centre="", n_bytes=0):
        """Return the engine with the lowest cost for a prompt, or None.

        Parameters
        ----------
        parts : tuple of protocols.PromptPart
        engines : list of servers.Server
            Those that may get the request.
        data_centre : str
            Data centre of the request's inputs; empty without inputs.
        n_bytes : int
            Size of the inputs.
        """
        home = self.home_engine(parts, engines)
        return min(
            engines,
            key=lambda engine: self._cost(engine, parts, home, data_centre, n_bytes),
            default=None,
        )

    def record_sent(self, engine, parts):
        """Record that a prompt was sent to an engine."""
        cached = self.sent_parts.setdefault(
            engine.incarnation, collections.OrderedDict()
        )
        for part in parts:
            cached[part.id] = True
            cached.move_to_end(part.id)
        while len(cached) > MAX_PARTS_PER_ENGINE:
            cached.popitem(last=False)

    def forget(self, incarnations):
        """Drop the prompt parts of all engines but those of these incarnations."""
        for incarnation in set(self.sent_parts) - set(incarnations):
            del self.sent_parts[incarnation]

    def work(self, parts, engines):
        """Return what a prompt asks of some engines, as ``timedchoices.Work``.

        Preferred are the session's homes and the engines that have its shared parts
        cached, as far as this host knows.
        """
        home = self.home_engine(parts, engines)
        second = self._second_home(parts, engines, home)
        n_tokens = sum(part.n_tokens for part in parts)
        preferred = [engine for engine in (home, second) if engine is not None]
        if len(parts) > 1:
            shared = parts[-2].id
            for engine in engines:
                has_shared = shared in self.sent_parts.get(engine.incarnation, ())
                if has_shared and engine not in preferred:
                    preferred.append(engine)

        def n_cached(engine):
            n_uncached = self._n_uncached_tokens(engine, parts, engine is home)
            if engine is second:
                n_if_home = self._n_uncached_tokens(engine, parts, True)
                n_uncached += SECOND_HOME_SHARE * (n_if_home - n_uncached)
            return n_tokens - n_uncached

        return timedchoices.Work(n_tokens, n_cached, preferred[:MAX_PREFERRED])

    def _second_home(self, parts, engines, home):
        """Return the engine where a session goes if its home is slow, or None.

        It is the same at all hosts, in another data centre than the home.
        """
        if home is None:
            return None
        others = [e for e in engines if e.data_centre != home.data_centre]
        return self.home_engine(parts, others)

    def _cost(self, engine, parts, home, data_centre, n_bytes):
        """Return the cost of a request on an engine, in prompt tokens."""
        cost = self._n_uncached_tokens(engine, parts, engine is home)
        load = engine.load()
        waiting = max(0.0, load - engine.capacity())
        cost += IN_PROGRESS_TOKENS * load + WAITING_TOKENS * waiting
        cost += FAILURE_TOKENS * engine.n_failures
        if data_centre and engine.data_centre != data_centre:
            cost += timedchoices.TOKENS_PER_REMOTE_BYTE * n_bytes
        return cost

    def _n_uncached_tokens(self, engine, parts, is_home):
        """Return how many prompt tokens the engine probably has not cached."""
        cached = self.sent_parts.get(engine.incarnation, {})
        n_shared = len(parts) - 1
        for index, part in enumerate(parts):
            if part.id not in cached and not (is_home and index < n_shared):
                return sum(rest.n_tokens for rest in parts[index:])
        return 0


def session_id(parts):
    """Return the id of the last prompt part that other requests share, or ''."""
    if not parts:
        return ""
    return parts[-2].id if len(parts) > 1 else parts[0].id


def subset_token_of(parts):
    """Return a token by which all hosts choose the same subset of a large pool."""
    return xxhash.xxh3_64_intdigest(session_id(parts).encode())


def _rank(engine, session):
    return xxhash.xxh3_64_intdigest(f"{session}/{engine.address}".encode())
