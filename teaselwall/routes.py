"""Routes that the operators configure: which request goes to which pool."""

import bisect
import dataclasses
import enum
import random

MAX_PRIORITY = 9
# Before a configuration says otherwise.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Callers leave a stream, also before its first event, after the longest of these
# pauses (the users' figures).
ABANDON_MS = 2000.0
ABANDON_TARGETS = 4
ABANDON_GAPS = 8


class Kind(enum.Enum):
    """What may be done with a request besides running it once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(slots=True, frozen=True)
class StageNeed:
    """One stage that a route's requests pass before their engine.

    Attributes
    ----------
    pool : str
        Name of the stage pool.
    after : tuple of int
        Stages whose results are this one's inputs.
    n_bytes : int
        Approximate size of one result.
    """

    pool: str
    after: tuple
    n_bytes: int


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """One route.

    Attributes
    ----------
    shares : tuple of (str, float)
        Pools and the weight of each.
    timeout_ms : float
        Longest time that a caller is kept waiting.
    target_ms : float
        Time within which an answer has its full worth.
    max_attempts : int
        Servers that one request may run on.
    priority : int
        0 is the most urgent.
    resumable : bool
        Whether a broken stream may go on at another server.
    gap_ms : float
        Longest pause between two events of a stream that is on time.
    stages : tuple of StageNeed
    regions : tuple of str
        Where its requests may run; anywhere if empty.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple
    timeout_ms: float
    target_ms: float
    max_attempts: int
    priority: int
    public: bool
    resumable: bool
    gap_ms: float
    stages: tuple
    regions: tuple

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or self.resumable

    @property
    def first_event_ms(self):
        """Time after which a caller leaves a stream that has not begun."""
        if self.kind is not Kind.STREAM:
            return self.timeout_ms
        longest_ms = max(
            ABANDON_MS, ABANDON_TARGETS * self.target_ms, ABANDON_GAPS * self.gap_ms
        )
        return min(self.timeout_ms, longest_ms)

    def pool(self, draw=random.random):
        """Return the pool for one request, drawn by the weights."""
        if len(self.shares) == 1:
            return self.shares[0][0]
        point = draw() * sum(weight for _, weight in self.shares)
        for name, weight in self.shares:
            point -= weight
            if point < 0:
                return name
        return self.shares[-1][0]


@dataclasses.dataclass(slots=True, frozen=True)
class BatchLimits:
    """What one server of a stage pool takes.

    Attributes
    ----------
    n_calls : int
        Calls that it works on at once.
    n_pieces : int
        Pieces in one call.
    call_ms : float
        Fixed time of a call.
    piece_ms : float
        Approximate time of each piece.
    room_bytes : int
        Space for results.
    kept_ms : float
        How long a result is kept after its call.
    """

    n_calls: int
    n_pieces: int
    call_ms: float
    piece_ms: float
    room_bytes: int
    kept_ms: float

    def expected_ms(self, n_pieces):
        """Return the time that a call with this many pieces takes."""
        return self.call_ms + n_pieces * self.piece_ms


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """Back ends of one service.

    Attributes
    ----------
    max_connections : int
        Of one server, from all entry hosts together.
    cold_ms : float
        How long a server is cold after its start.
    cold_rate : float
        Requests a second that a cold server bears; 0 where it bears all.
    batches : BatchLimits or None
        Set for stage pools.
    engine : bool
        Whether its servers are model engines.
    """

    name: str
    max_connections: int
    cold_ms: float
    cold_rate: float
    batches: BatchLimits | None
    engine: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """One organisation; its priority, if it has one, replaces the route's."""

    name: str
    priority: int | None
    regions: tuple


class RouteTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
    routes : iterable of Route
    pools : iterable of Pool
    organisations : dict of str to Organisation
        By access key.
    max_body_bytes : int
        Largest body that a caller may send.
    keyed : bool
        Whether requests need an access key, but for public routes.
    """

    __slots__ = (
        "version",
        "by_host",
        "pools",
        "organisations",
        "max_body_bytes",
        "keyed",
    )

    def __init__(self, version, routes, pools, organisations, max_body_bytes, keyed):
        self.version = version
        self.by_host = {}
        for route in routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for found in self.by_host.values():
            found.sort(key=lambda route: route.prefix)
        self.pools = {pool.name: pool for pool in pools}
        self.organisations = organisations
        self.max_body_bytes = max_body_bytes
        self.keyed = keyed

    def find(self, host, path):
        """Return the route with the longest prefix of a path, or None.

        Parameters
        ----------
        host : str
            Without a port.
        path : str
        """
        found = self.by_host.get(host.lower(), ())
        end = bisect.bisect_right(found, path, key=lambda route: route.prefix)
        best = None
        # Prefixes of a path sort before it, but others may stand between them.
        for route in found[:end]:
            if path.startswith(route.prefix):
                best = route
        return best

    def priority(self, route, organisation):
        """Return the priority of a request; 0 is the most urgent."""
        if organisation is not None and organisation.priority is not None:
            return min(MAX_PRIORITY, organisation.priority)
        return min(MAX_PRIORITY, route.priority)
