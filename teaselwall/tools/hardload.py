"""Load patterns in which stage pools have too little room, for tests and benchmarks."""

import dataclasses

from teaselwall import routes
from teaselwall.tools import bench_stages

POOLS = {
    "encode": routes.BatchLimits(1, 17, 200.0, 10.0, 37_000_000, 4000.0),
    "retrieve": routes.BatchLimits(1, 43, 200.0, 4.0, 5_700_000, 4000.0),
    "rank": routes.BatchLimits(1, 64, 200.0, 2.7, 840_000, 4000.0),
}
N_SERVERS = {"encode": 4, "retrieve": 3, "rank": 3}


@dataclasses.dataclass(slots=True, frozen=True)
class Pattern:
    """One way in which room is short.

    Attributes
    ----------
    name : str
    bursts : dict of str to tuple of (float, float, float)
        By kind: start in s, length in s and factor of a burst.
    flood : float
        Requests a second of one organisation, of the most urgent kind.
    slow : tuple of (float, float, float, float)
        Start and length in s, factor on the time of calls, and the share of the
        servers that it holds for.
    down : tuple of (float, float, str)
        Start and length in s for which a server, by its address, is down.
    knowledge_ms : float
        Age at which the coordinator learns that a server is down or back.
    one_data_centre : bool
        Whether all large requests are for engines of one data centre.
    returns : str
        When callers come back: ``told``, ``early``, ``together`` or ``never``.
    killed_s : float
        When the coordinator is killed and another one starts; 0 for never.
    n_coordinators : int
        Hosts that take themselves for the coordinator.
    """

    name: str
    bursts: dict
    flood: float = 0.0
    slow: tuple = ()
    down: tuple = ()
    knowledge_ms: float = 0.0
    one_data_centre: bool = False
    returns: str = "told"
    killed_s: float = 0.0
    n_coordinators: int = 1


URGENT = {"notices": (3.0, 6.0, 2.8)}
ALL = {kind: (3.0, 4.0, 2.2) for kind in ("notices", "drafts", "chats")}
PATTERNS = (
    Pattern("urgent_burst", URGENT, down=(2.0, 5.0, "retrieve-0")),
    Pattern("burst_of_all", ALL),
    Pattern("flood", {}, flood=40.0),
    Pattern("room_halves", URGENT, slow=(5.0, 3.0, 2.5, 0.5)),
    Pattern("everybody", {kind: (2.0, 10.0, 2.6) for kind in ALL}),
    Pattern("one_data_centre", {"drafts": (3.0, 5.0, 2.6)}, one_data_centre=True),
    Pattern("early_returns", URGENT, down=(2.0, 5.0, "retrieve-0"), returns="early"),
    Pattern("returns_together", URGENT, returns="together"),
    Pattern("no_returns", URGENT, returns="never"),
    Pattern("killed", URGENT, killed_s=6.0),
    Pattern("two_coordinators", URGENT, n_coordinators=2),
    Pattern("known_200_ms", URGENT, down=(4.0, 4.0, "retrieve-0"), knowledge_ms=200.0),
    Pattern("known_2000_ms", URGENT, down=(4.0, 4.0, "retrieve-0"), knowledge_ms=2e3),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """Requests of one kind.

    Attributes
    ----------
    name : str
    rate : float
        Requests per s outside bursts.
    target_ms, deadline_ms : float
    priority : int
    stages : callable
        ``stages(rng)`` returns the rows of a request's stages.
    """

    name: str
    rate: float
    target_ms: float
    deadline_ms: float
    priority: int
    stages: object


KINDS = (
    Kind("notices", 13.0, 2300, 6000, 0, bench_stages.digest_stages),
    Kind("drafts", 21.0, 1600, 6000, 1, bench_stages.image_stages),
    Kind("chats", 10.0, 2300, 20_000, 2, bench_stages.chat_stages),
)
