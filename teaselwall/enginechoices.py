"""Which model engine a request goes to."""

import collections

import xxhash

# A request in progress on an engine weighs as many prompt tokens: it slows every
# step of the others a little.
LOAD_TOKENS = 60
# A request that waits for a place on an engine.
WAITING_TOKENS = 4000
# Bytes of stage results that cross data centres weigh as many tokens each.
TOKENS_PER_BYTE = 0.002
# Prompt parts remembered for each engine.
MAX_PARTS = 4000
# Each failure in a row outweighs reading the longest usual prompt.
FAILURE_TOKENS = 20000


class EngineChoices:
    """Chooses engines by cached prompt parts, load and where the inputs lie.

    All entry hosts send a session to the same engine first, by rendezvous hashing
    of the part of the prompt that it shares.
    """

    __slots__ = ("sent",)

    def __init__(self):
        self.sent = {}

    def home(self, parts, engines):
        """Return the engine that probably caches a prompt, or None."""
        if not engines:
            return None
        session = session_of(parts)
        return max(engines, key=lambda engine: _rank(engine, session))

    def choose(self, parts, engines, data_centre="", n_bytes=0):
        """Return the engine with the least work for a prompt, or None.

        Parameters
        ----------
        parts : tuple of protocols.PromptPart
        engines : list of servers.Server
            Those that may get the request.
        data_centre : str
            Where its inputs lie.
        n_bytes : int
            Size of the inputs.
        """
        home = self.home(parts, engines)
        return min(
            engines,
            key=lambda engine: self._cost(engine, parts, home, data_centre, n_bytes),
            default=None,
        )

    def record_sent(self, engine, parts):
        """Remember that an engine reads a prompt."""
        known = self.sent.setdefault(engine.incarnation, collections.OrderedDict())
        for part in parts:
            known[part.id] = True
            known.move_to_end(part.id)
        while len(known) > MAX_PARTS:
            known.popitem(last=False)

    def forget(self, incarnations):
        """Drop what is remembered of engines other than these."""
        for incarnation in set(self.sent) - set(incarnations):
            del self.sent[incarnation]

    def _cost(self, engine, parts, home, data_centre, n_bytes):
        cost = self._uncached(engine, parts, engine is home)
        load = engine.load()
        waiting = max(0.0, load - engine.capacity())
        cost += LOAD_TOKENS * load + WAITING_TOKENS * waiting
        cost += FAILURE_TOKENS * engine.n_failures
        if data_centre and engine.data_centre != data_centre:
            cost += TOKENS_PER_BYTE * n_bytes
        return cost

    def _uncached(self, engine, parts, is_home):
        """Return the tokens that the engine probably has to read."""
        known = self.sent.get(engine.incarnation, {})
        shared = parts[:-1]
        for index, part in enumerate(parts):
            if part.id not in known and not (is_home and part in shared):
                return sum(rest.n_tokens for rest in parts[index:])
        return 0


def session_of(parts):
    """Return the id of the last part that a prompt shares with others."""
    if not parts:
        return ""
    return parts[-2].id if len(parts) > 1 else parts[0].id


def token_of(parts):
    """Return a token by which every host looks at the same part of a large pool."""
    return xxhash.xxh3_64_intdigest(session_of(parts).encode())


def _rank(engine, session):
    return xxhash.xxh3_64_intdigest(f"{session}/{engine.address}".encode())
