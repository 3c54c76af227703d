"""Routes, pools and organisations of the operators' configuration."""

import bisect
import dataclasses
import enum
import random

MAX_PRIORITY = 9
# Limit on a request's body until a configuration sets another one.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Callers abandon a stream after a pause, also before its first event. The pause is the
# longest of this time, a multiple of the target and a multiple of the gap. The users
# stated these figures.
MIN_ABANDON_MS = 2000.0
ABANDON_TARGET_FACTOR = 4
ABANDON_GAP_FACTOR = 8


class Kind(enum.Enum):
    """How a route's requests may run: repeatedly, only once, or as event streams."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(slots=True, frozen=True)
class RouteStage:
    """One stage that a route's requests pass through before their engine.

    Attributes
    ----------
    pool : str
        Name of the stage pool.
    after : tuple of int
        Indices of the stages whose results are this stage's inputs.
    n_bytes : int
        Approximate size of one result.
    """

    pool: str
    after: tuple
    n_bytes: int


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Rule that selects requests by host and path, and how to serve them.

    Attributes
    ----------
    prefix : str
        Requests whose path starts with it match.
    shares : tuple of (str, float)
        Pool names with their weights.
    timeout_ms : float
        Longest time that a request may take.
    target_ms : float
        Time within which an answer, or a stream's first event, is on time.
    max_attempts : int
        Largest number of servers that one request may run on.
    priority : int
        0 is the most urgent.
    public : bool
        Whether its requests need no access key.
    resumable : bool
        Whether a broken stream may resume at another server.
    gap_ms : float
        Longest pause between two events of a stream that counts as on time.
    stages : tuple of RouteStage
    regions : tuple of str
        Regions where its requests may run; any if empty.
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
    def abandon_ms(self):
        """Pause in ms after which a caller abandons a stream, also before it begins.

        For other routes, the timeout.
        """
        if self.kind is not Kind.STREAM:
            return self.timeout_ms
        longest_ms = max(
            MIN_ABANDON_MS,
            ABANDON_TARGET_FACTOR * self.target_ms,
            ABANDON_GAP_FACTOR * self.gap_ms,
        )
        return min(self.timeout_ms, longest_ms)

    def pool(self, draw=random.random):
        """Return the name of a request's pool, drawn at random by weight."""
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
    """Capacity and timing of one server of a stage pool.

    Attributes
    ----------
    n_calls : int
        Calls in progress at once.
    n_pieces : int
        Most pieces in one call.
    call_ms : float
        Approximate fixed time of a call.
    piece_ms : float
        Approximate additional time of each piece.
    result_space_bytes : int
        Space for stored results.
    result_kept_ms : float
        How long the server keeps a result after the call.
    """

    n_calls: int
    n_pieces: int
    call_ms: float
    piece_ms: float
    result_space_bytes: int
    result_kept_ms: float

    def expected_ms(self, n_pieces):
        """Return the approximate time in ms of a call with ``n_pieces`` pieces."""
        return self.call_ms + n_pieces * self.piece_ms


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """The servers of one service.

    Attributes
    ----------
    max_connections : int
        Most connections to one server from all entry hosts; 0 for no limit.
    cold_ms : float
        How long a server stays cold after its start.
    cold_rate : float
        Requests per second that a cold server can take; 0 for no limit.
    batches : BatchLimits or None
        None unless this is a stage pool.
    engine : bool
        Whether its servers are model engines.
    n_places : int
        Requests that an engine runs at once; 0 if the configuration doesn't say.
    memory_tokens : int
        Tokens that an engine's memory holds, of requests and cached prompt parts; 0 if
        the configuration doesn't say.
    """

    name: str
    max_connections: int
    cold_ms: float
    cold_rate: float
    batches: BatchLimits | None
    engine: bool
    n_places: int = 0
    memory_tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """A customer whose requests carry its access keys.

    Attributes
    ----------
    name : str
    priority : int or None
        Replaces the route's priority; None to keep the route's.
    regions : tuple of str
        Regions where its requests may run; any if empty.
    """

    name: str
    priority: int | None
    regions: tuple


class RouteTable:
    """One version of the configuration, with its routes grouped by host.

    Parameters
    ----------
    version : int
    routes : iterable of Route
    pools : iterable of Pool
    organisations : dict of str to Organisation
        Organisations by access key.
    max_body_bytes : int
        Largest request body.
    requires_keys : bool
        Whether requests need an access key, except on public routes.

    Attributes
    ----------
    by_host : dict of str to list of Route
        By lower-case host name, each list sorted by prefix.
    """

    __slots__ = (
        "version",
        "by_host",
        "pools",
        "organisations",
        "max_body_bytes",
        "requires_keys",
    )

    def __init__(
        self, version, routes, pools, organisations, max_body_bytes, requires_keys
    ):
        self.version = version
        self.by_host = {}
        for route in routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for candidates in self.by_host.values():
            candidates.sort(key=lambda route: route.prefix)
        self.pools = {pool.name: pool for pool in pools}
        self.organisations = organisations
        self.max_body_bytes = max_body_bytes
        self.requires_keys = requires_keys

    def find(self, host, path):
        """Return the host's route with the longest matching path prefix, or None.

        Parameters
        ----------
        host : str
            Without a port.
        path : str
        """
        candidates = self.by_host.get(host.lower(), ())
        end = bisect.bisect_right(candidates, path, key=lambda route: route.prefix)
        best = None
        # Each matching prefix sorts at or before the path, between others that may not
        # match; the last match is the longest.
        for route in candidates[:end]:
            if path.startswith(route.prefix):
                best = route
        return best

    def priority(self, route, organisation):
        """Return the priority of a request, at most ``MAX_PRIORITY``."""
        if organisation is not None and organisation.priority is not None:
            return min(MAX_PRIORITY, organisation.priority)
        return min(MAX_PRIORITY, route.priority)
