"""Settings of the soak's entry hosts and their operators' first configuration."""

from teaselwall.tools import platform_results, soak_checks, soak_rollouts

LOOPBACK = "127.0.0.1"
ZONES = ("z1", "z2")
API_KEYS = {"alpha": "key-of-alpha", "beta": "key-of-beta"}
# Servers of each pool; each data centre has half of them.
POOL_SIZES = {"plain": 2, "engine": 4, "encode": 2}
# Each data centre has an engine of each version of their software.
VERSIONS = ("v1", "v2")
# Kind of each route, and the time that it allows.
ROUTE_KINDS = {
    "once": "unsafe",
    "safe": "safe",
    "stream": "streaming",
    "resume": "streaming",
}
TIMEOUTS_S = {"once": 3.0, "safe": 3.0, "stream": 6.0, "resume": 6.0}
# Time after which a stopped host is killed, by turns.
STOP_TIMEOUTS_S = (8, 4)


def settings(name, zone, ports, store, stop_timeout_s):
    """Return the settings of an entry host.

    Parameters
    ----------
    name, zone : str
    ports : list of int
        For callers, readiness, the directory, peers and metrics.
    store : str
        Address of the store.
    stop_timeout_s : int
    """
    names = ("callers", "readiness", "directory", "peers", "metrics")
    listen = {key: f"{LOOPBACK}:{port}" for key, port in zip(names, ports, strict=True)}
    return {
        "host": {"name": name, "data_centre": zone, "region": "r"},
        "listen": listen,
        "store": {"address": store},
        "access": {
            "peer_key": "soak-peer-key-0001",
            "operator_key": "soak-operator-key",
        },
        "bounds": {
            "revocation_ms": soak_checks.REVOCATION_DELAY_S * 1000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 50,
            "answer_kept_s": 1,
            "expose_share": soak_rollouts.EXPOSE_SHARE,
            "expose_slack": soak_rollouts.EXPOSE_SLACK,
            "rollback_ms": soak_rollouts.ROLLBACK_S * 1000,
        },
        "membership": {"answer_kept_ms": 1000},
        "stop": {"limit_ms": stop_timeout_s * 1000},
    }


def first_configuration():
    """Return the operators' first configuration, without a version."""
    routes = [_route(name) for name in ROUTE_KINDS]
    stage_limits = {
        "slots": 1,
        "queue": 2,
        "batch": 8,
        "callMs": 50,
        "itemMs": 1,
        "roomMb": 4,
        "handleS": platform_results.RESULT_KEPT_S,
    }
    services = [
        {"name": "plain", "maxConnections": 200},
        {"name": "engine", "maxConnections": 200, "engine": {}},
        {"name": "encode", "maxConnections": 200, "pieces": stage_limits},
    ]
    tenants = [{"name": name, "apiKeys": [key]} for name, key in API_KEYS.items()]
    return {"routes": routes, "services": services, "tenants": tenants}


def _route(name):
    route = {
        "name": name,
        "host": "soak.example",
        "pathPrefix": f"/{name}/",
        "kind": ROUTE_KINDS[name],
        "timeoutMs": TIMEOUTS_S[name] * 1000,
        "targetLatencyMs": 1000,
        "service": "plain",
        "maxAttempts": 2 if name in soak_checks.REPEATABLE_KINDS else 1,
    }
    if name in soak_checks.STREAM_KINDS:
        route["service"] = "engine"
        route["resumable"] = name in soak_checks.REPEATABLE_KINDS
        route["stages"] = [
            {"service": "encode", "after": [], "bytes": 1000},
            {"service": "encode", "after": [0], "bytes": 1000},
        ]
    return route
