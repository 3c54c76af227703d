"""Checks a configuration before it is published: what it says and can't mean."""

import collections
import dataclasses
import enum

from teaselwall import routes

# Findings of one kind that are listed; the rest is counted.
MAX_LISTED = 20


class Kind(enum.Enum):
    """What is wrong with an entry.

    Attributes
    ----------
    ERROR
        Callers would be refused or served by other rules than the entry says.
    NEVER_USED
        No request can match the entry.
    CONTRADICTION
        Two limits can't both hold.
    NOTE
        Allowed, and often not meant.
    """

    ERROR = "error"
    NEVER_USED = "never used"
    CONTRADICTION = "contradiction"
    NOTE = "note"


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """One thing that is wrong with a configuration.

    Attributes
    ----------
    kind : Kind
    path : str
        The entry, such as ``route r-1`` or ``organisation o``.
    detail : str
    remedy : str
    """

    kind: Kind
    path: str
    detail: str
    remedy: str

    def text(self):
        """Return the finding as one line."""
        return f"{self.kind.value}: {self.path}: {self.detail} {self.remedy}"


def check(configuration):
    """Return what is wrong with a configuration.

    Parameters
    ----------
    configuration : routeconfigurations.RouteConfiguration

    Returns
    -------
    list of Finding
        Errors first.
    """
    pools = {pool.name: pool for pool in configuration.pools}
    findings = [
        *_check_names(configuration),
        *_check_prefixes(configuration.routes),
        *_check_keys(configuration.organisations),
        *_check_use(configuration),
    ]
    for route in configuration.routes:
        findings += _check_pools(route, pools)
        findings += _check_shares(route)
        findings += _check_stages(route, pools)
        findings += _check_limits(route, pools)
    findings += _check_regions(configuration)
    return sorted(findings, key=lambda finding: list(Kind).index(finding.kind))


def _check_names(configuration):
    given = [
        ("route", [route.name for route in configuration.routes]),
        ("service", [pool.name for pool in configuration.pools]),
        ("organisation", [o.name for o, _ in configuration.organisations]),
    ]
    for what, names in given:
        for name, n_given in collections.Counter(names).items():
            if n_given > 1:
                yield Finding(
                    Kind.ERROR,
                    f"{what} {name}",
                    f"The name is given to {n_given} entries.",
                    "Give each entry a name of its own.",
                )


def _check_prefixes(all_routes):
    """Yield findings on routes that another one hides or that match no path."""
    first_by_place = {}
    for route in all_routes:
        path = f"route {route.name}"
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield Finding(
                Kind.ERROR,
                path,
                f"The prefix {route.prefix!r} does not begin and end with a slash.",
                "Write a prefix such as '/name/'.",
            )
        if not route.host or ":" in route.host:
            yield Finding(
                Kind.NEVER_USED,
                path,
                f"Hosts are compared without a port, so none is {route.host!r}.",
                "Name the host only.",
            )
        place = (route.host.lower(), route.prefix)
        first = first_by_place.setdefault(place, route)
        if first is not route:
            yield Finding(
                Kind.NEVER_USED,
                f"route {first.name}",
                f"Route {route.name} has the same host and prefix and comes later.",
                "Remove one of them or change its prefix.",
            )


def _check_keys(organisations):
    holders = {}
    for organisation, keys in organisations:
        path = f"organisation {organisation.name}"
        if not keys:
            yield Finding(
                Kind.NEVER_USED,
                path,
                "It has no access key, so no request is its own.",
                "Give it a key or remove it.",
            )
        for number, key in enumerate(keys):
            other = holders.setdefault(key, organisation.name)
            if not key:
                yield Finding(
                    Kind.ERROR,
                    path,
                    f"Access key {number + 1} is empty.",
                    "Remove it: requests without a key would get its rights.",
                )
            elif other != organisation.name or key in keys[:number]:
                yield Finding(
                    Kind.ERROR,
                    path,
                    f"Access key {number + 1} is also a key of organisation {other}.",
                    "Give each key once; a request can belong to one organisation.",
                )


def _check_use(configuration):
    """Yield findings on services that no route names."""
    named = set()
    for route in configuration.routes:
        named.update(name for name, _ in route.shares)
        named.update(stage.pool for stage in route.stages)
    for pool in configuration.pools:
        if pool.name not in named:
            yield Finding(
                Kind.NEVER_USED,
                f"service {pool.name}",
                "No route sends requests or stages to it.",
                "Remove it, or name it in a route.",
            )


def _check_pools(route, pools):
    named = [name for name, _ in route.shares]
    named += [stage.pool for stage in route.stages]
    for name in dict.fromkeys(named):
        if name not in pools:
            yield Finding(
                Kind.ERROR,
                f"route {route.name}",
                f"No service {name!r} is configured, so its requests are refused.",
                "Add the service or correct the name.",
            )


def _check_shares(route):
    path = f"route {route.name}"
    if any(weight < 0 for _, weight in route.shares):
        yield Finding(
            Kind.ERROR, path, "A share is negative.", "Write shares of 0 or more."
        )
    total = sum(weight for _, weight in route.shares)
    if total <= 0:
        yield Finding(
            Kind.ERROR, path, "All of its shares are 0.", "Give one service a share."
        )
    elif len(route.shares) > 1 and total > 100:
        yield Finding(
            Kind.NOTE,
            path,
            f"Its shares sum to {total:g}, more than the whole in percent.",
            "They count in proportion; write shares that sum to 1 or to 100.",
        )
    for name, weight in route.shares:
        if weight == 0 and total > 0:
            yield Finding(
                Kind.NOTE,
                path,
                f"Service {name} has a share of 0.",
                "Remove it from the route, or give it a share.",
            )


def _check_stages(route, pools):
    path = f"route {route.name}"
    for number, stage in enumerate(route.stages):
        pool = pools.get(stage.pool)
        if pool is not None and pool.batches is None:
            yield Finding(
                Kind.ERROR,
                f"{path} stage {number}",
                f"Service {stage.pool} does not say how it runs pieces.",
                "Name a service that runs stages.",
            )
        elif pool is not None and stage.n_bytes > pool.batches.result_space_bytes:
            yield Finding(
                Kind.CONTRADICTION,
                f"{path} stage {number}",
                f"A result of {stage.n_bytes} bytes exceeds the "
                f"{pool.batches.result_space_bytes} bytes of a server of {stage.pool}.",
                "Give the service more space, or correct the size.",
            )
        if any(not 0 <= source < len(route.stages) for source in stage.after):
            yield Finding(
                Kind.ERROR,
                f"{path} stage {number}",
                f"It comes after stages {list(stage.after)}; there are "
                f"{len(route.stages)}, numbered from 0.",
                "Name stages of the same route.",
            )
    if _stage_order(route.stages) is None:
        yield Finding(
            Kind.ERROR,
            path,
            "Its stages wait for each other in a circle.",
            "Remove one of the dependencies.",
        )


def _stage_order(stages):
    """Return the numbers of the stages, each after its sources; None in a circle."""
    order, left = [], set(range(len(stages)))
    while left:
        ready = [n for n in sorted(left) if not left.intersection(stages[n].after)]
        if not ready:
            return None
        order += ready
        left.difference_update(ready)
    return order


def _check_limits(route, pools):
    path = f"route {route.name}"
    if route.timeout_ms <= 0:
        yield Finding(
            Kind.ERROR,
            path,
            f"The timeout of {route.timeout_ms:g} ms leaves no time for an answer.",
            "Write a timeout in ms.",
        )
        return
    if route.target_ms > route.timeout_ms:
        yield Finding(
            Kind.CONTRADICTION,
            path,
            f"The latency objective of {route.target_ms:g} ms is longer than the "
            f"timeout of {route.timeout_ms:g} ms.",
            "Raise the timeout or lower the objective.",
        )
    if route.gap_ms > route.timeout_ms:
        yield Finding(
            Kind.CONTRADICTION,
            path,
            f"A pause of {route.gap_ms:g} ms between events is allowed, longer than "
            f"the timeout of {route.timeout_ms:g} ms.",
            "Raise the timeout or lower the pause.",
        )
    stages_ms = _shortest_ms(route, pools)
    for limit, limit_ms in (
        ("timeout", route.timeout_ms),
        ("latency objective", route.target_ms),
    ):
        if stages_ms > limit_ms:
            yield Finding(
                Kind.CONTRADICTION,
                path,
                f"Its stages need {stages_ms:.0f} ms on idle servers, longer than the "
                f"{limit} of {limit_ms:g} ms.",
                f"Raise the {limit}, or leave out stages.",
            )
            break


def _shortest_ms(route, pools):
    """Return the time in ms of a route's stages with one piece each and no wait."""
    order = _stage_order(route.stages)
    if order is None:
        return 0.0
    end_ms = {}
    for number in order:
        stage = route.stages[number]
        batches = getattr(pools.get(stage.pool), "batches", None)
        own_ms = batches.expected_ms(1) if batches is not None else 0.0
        start_ms = max((end_ms.get(n, 0.0) for n in stage.after), default=0.0)
        end_ms[number] = start_ms + own_ms
    return max(end_ms.values(), default=0.0)


def _check_regions(configuration):
    """Yield findings on organisations that a route excludes by its regions."""
    bound = [route for route in configuration.routes if route.regions]
    by_regions = {}
    for organisation, _ in configuration.organisations:
        if organisation.regions:
            by_regions.setdefault(organisation.regions, []).append(organisation.name)
    for route in bound:
        for regions, names in by_regions.items():
            if not set(route.regions) & set(regions) and not route.public:
                yield Finding(
                    Kind.NOTE,
                    f"route {route.name}",
                    f"It runs in {', '.join(route.regions)} only, and organisation "
                    f"{names[0]}{_others(names)} in {', '.join(regions)} only.",
                    "Add a region that both allow, or keep them apart on purpose.",
                )


def is_in_order(findings):
    """Return whether none of the findings is more than a note."""
    return all(finding.kind is Kind.NOTE for finding in findings)


def _others(names):
    return f" and {len(names) - 1} more" if len(names) > 1 else ""


def listed(findings):
    """Return the findings to list and the number of those left out, by kind.

    Returns
    -------
    tuple of (list of Finding, dict of Kind to int)
    """
    n_by_kind = collections.Counter()
    shown = []
    for finding in findings:
        n_by_kind[finding.kind] += 1
        if n_by_kind[finding.kind] <= MAX_LISTED:
            shown.append(finding)
    return shown, {
        kind: n_found - MAX_LISTED
        for kind, n_found in n_by_kind.items()
        if n_found > MAX_LISTED
    }


def kind_name(kind):
    """Return how a ``routes.Kind`` treats repeats, in words."""
    return {
        routes.Kind.IDEMPOTENT: "may be repeated",
        routes.Kind.ONCE: "run at most once",
        routes.Kind.STREAM: "are streams",
    }[kind]
