"""Decoder of the operators' configuration in the format of the platform's store."""

from typing import Literal

import expression
import msgspec

from teaselwall import errors, routeconfigurations, routes

BYTES_PER_MB = 1_000_000
MS_PER_S = 1000.0
MAX_COUNT = 1e12
KINDS = {
    "safe": routes.Kind.IDEMPOTENT,
    "unsafe": routes.Kind.ONCE,
    "streaming": routes.Kind.STREAM,
}


class _Share(msgspec.Struct, rename="camel"):
    service: str
    weight: float


class _Stage(msgspec.Struct, rename="camel"):
    service: str
    after: list[int] = []
    # Approximate size of one result, in bytes.
    bytes: float = 0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    service: str = ""
    split: list[_Share] = []
    # Maximum number of servers on which one request is tried.
    max_attempts: int = 1
    stages: list[_Stage] = []
    # Whether requests are accepted without an access key.
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0
    allowed_regions: list[str] = []


class _Pieces(msgspec.Struct, rename="camel"):
    # Concurrent calls to one server.
    slots: int
    # Maximum number of pieces in one call.
    batch: int
    call_ms: float
    item_ms: float
    # Space for results on one server, in MB.
    room_mb: float
    # Time for which a server keeps a result after its call.
    handle_s: float


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 0
    cold_start_s: float = 0
    # Requests per second that one cold server can take; 0 for no limit.
    cold_per_s: float = 0
    engine: dict | None = None
    pieces: _Pieces | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_body_bytes: int = routes.MAX_BODY_BYTES


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] = []


class _Config(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class UnreadableConfiguration(errors.Error):
    """A configuration record that can't be decoded."""

    title = "Unreadable configuration"
    remedy = "Publish a corrected configuration; the last good one stays in force."


def read(value):
    """Decode a configuration record.

    Returns
    -------
    expression.Result
        ``routeconfigurations.RouteConfiguration``.
    """
    try:
        config = msgspec.json.decode(value, type=_Config)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        return expression.Error(UnreadableConfiguration(f"{error}."))
    return expression.Ok(_configuration(config))


def _configuration(config):
    return routeconfigurations.RouteConfiguration(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        pools=tuple(_pool(service) for service in config.services),
        organisations=tuple(
            (
                routes.Organisation(
                    tenant.name, tenant.priority, tuple(tenant.allowed_regions)
                ),
                tuple(tenant.api_keys),
            )
            for tenant in config.tenants
        ),
        max_body_bytes=config.limits.max_body_bytes,
    )


def _route(route):
    shares = tuple((share.service, share.weight) for share in route.split)
    kind = KINDS[route.kind]
    return routes.Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=kind,
        shares=shares or ((route.service, 1.0),),
        timeout_ms=route.timeout_ms,
        target_ms=route.target_latency_ms or route.timeout_ms,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        public=route.public,
        resumable=route.resumable and kind is routes.Kind.STREAM,
        gap_ms=route.gap_aim_ms,
        stages=tuple(
            routes.RouteStage(stage.service, tuple(stage.after), int(stage.bytes))
            for stage in route.stages
        ),
        regions=tuple(route.allowed_regions),
    )


def _pool(service):
    pieces = service.pieces
    batches = None
    if pieces is not None:
        batches = routes.BatchLimits(
            n_calls=max(1, pieces.slots),
            n_pieces=max(1, pieces.batch),
            call_ms=pieces.call_ms,
            piece_ms=pieces.item_ms,
            result_space_bytes=int(pieces.room_mb * BYTES_PER_MB),
            result_kept_ms=pieces.handle_s * MS_PER_S,
        )
    engine = service.engine or {}
    return routes.Pool(
        name=service.name,
        max_connections=service.max_connections,
        cold_ms=service.cold_start_s * MS_PER_S,
        cold_rate=service.cold_per_s,
        batches=batches,
        engine=service.engine is not None,
        n_places=_count(engine.get("slots")),
        memory_tokens=_count(engine.get("kvTokens")),
    )


def _count(value):
    """Return a count that a configuration may hold, 0 if it is missing or no count."""
    if not isinstance(value, int | float) or not 0 < value <= MAX_COUNT:
        return 0
    return int(value)
