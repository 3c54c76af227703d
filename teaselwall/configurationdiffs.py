"""What a new configuration changes for callers against the one in force."""

from teaselwall import configurationchecks

# Changes of one sort that are listed by name.
MAX_NAMED = 5


def changes(new, old):
    """Return what a configuration changes, in words.

    Parameters
    ----------
    new, old : routeconfigurations.RouteConfiguration

    Returns
    -------
    list of str
        Empty if both serve callers alike.
    """
    lines = []
    if new.version <= old.version:
        lines.append(
            f"Version {new.version} is not newer than {old.version}, so entry hosts "
            "keep the one in force. With a newer number it would mean:"
        )
    lines += _route_changes(new, old)
    lines += _pool_changes(new, old)
    lines += _organisation_changes(new, old)
    if new.max_body_bytes != old.max_body_bytes:
        lines.append(
            f"Request bodies may have {new.max_body_bytes} bytes instead of "
            f"{old.max_body_bytes}."
        )
    return lines


def _route_changes(new, old):
    after = {(route.host.lower(), route.prefix): route for route in new.routes}
    before = {(route.host.lower(), route.prefix): route for route in old.routes}
    added = [_place(after[key]) for key in after if key not in before]
    removed = [_place(before[key]) for key in before if key not in after]
    if added:
        yield f"Requests are accepted at {_names(added)}."
    if removed:
        yield (
            f"Requests at {_names(removed)} are answered 404, unless a shorter prefix "
            "matches."
        )
    for key, route in after.items():
        if key in before and before[key] != route:
            yield from _one_route_changes(route, before[key])


def _one_route_changes(new, old):
    place = f"Requests at {_place(new)}"
    if new.shares != old.shares:
        yield f"{place} go to {_shares(new)} instead of {_shares(old)}."
    if new.kind is not old.kind:
        yield (
            f"{place} {configurationchecks.kind_name(new.kind)}; before, they "
            f"{configurationchecks.kind_name(old.kind)}."
        )
    for name, unit, value, former in (
        ("timeout", " ms", new.timeout_ms, old.timeout_ms),
        ("latency objective", " ms", new.target_ms, old.target_ms),
        ("longest pause between events", " ms", new.gap_ms, old.gap_ms),
        ("number of servers tried", "", new.max_attempts, old.max_attempts),
        ("priority (0 is first)", "", new.priority, old.priority),
    ):
        if value != former:
            yield (
                f"{place}: the {name} is {value:.12g}{unit} instead of "
                f"{former:.12g}{unit}."
            )
    if new.public != old.public:
        needs = "need no access key" if new.public else "need an access key"
        yield f"{place} {needs}."
    if new.resumable != old.resumable:
        how = "may be resumed" if new.resumable else "can't be resumed any more"
        yield f"{place}: broken streams {how}."
    if new.stages != old.stages:
        yield (f"{place} pass through {_stages(new)} first, instead of {_stages(old)}.")
    if new.regions != old.regions:
        yield f"{place} run in {_regions(new)} instead of {_regions(old)}."


def _pool_changes(new, old):
    after = {pool.name: pool for pool in new.pools}
    before = {pool.name: pool for pool in old.pools}
    added = [name for name in after if name not in before]
    removed = [name for name in before if name not in after]
    changed = [n for n, p in after.items() if n in before and before[n] != p]
    if added:
        yield f"New services: {_names(added)}."
    if removed:
        yield f"Services that get no requests any more: {_names(removed)}."
    if changed:
        yield f"Services with other limits of their servers: {_names(changed)}."


def _organisation_changes(new, old):
    after, before = new.table().organisations, old.table().organisations
    removed = [key for key in before if key not in after]
    added = [key for key in after if key not in before]
    moved = [k for k in after if k in before and after[k].name != before[k].name]
    if removed and new.organisations:
        holders = sorted({before[key].name for key in removed})
        yield (
            f"Access keys taken away: {len(removed)}, of {_names(holders)}; callers "
            "who use them are answered 401."
        )
    if added:
        holders = sorted({after[key].name for key in added})
        yield f"New access keys: {len(added)}, of {_names(holders)}."
    if moved:
        yield f"Access keys that change their organisation: {len(moved)}."
    if new.organisations and not old.organisations:
        yield "Requests need an access key unless their route is public."
    if old.organisations and not new.organisations:
        yield "Requests need no access key."
    ranks = {o.name: (o.priority, o.regions) for o, _ in old.organisations}
    other = [
        organisation.name
        for organisation, _ in new.organisations
        if organisation.name in ranks
        and ranks[organisation.name] != (organisation.priority, organisation.regions)
    ]
    if other:
        yield f"Organisations with another priority or other regions: {_names(other)}."


def _place(route):
    return f"{route.host}{route.prefix}"


def _shares(route):
    if len(route.shares) == 1:
        return route.shares[0][0]
    return " and ".join(f"{name} ({weight:g})" for name, weight in route.shares)


def _stages(route):
    return ", ".join(stage.pool for stage in route.stages) or "no stages"


def _regions(route):
    return ", ".join(route.regions) or "any region"


def _names(names):
    shown = ", ".join(names[:MAX_NAMED])
    n_more = len(names) - MAX_NAMED
    return f"{shown} and {n_more} more" if n_more > 0 else shown
