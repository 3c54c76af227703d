"""An ideal scheduler of stage work, which knows every arrival and fills its calls."""

import collections

SLOT_MS = 50.0


def on_time(requests, capacity, engine_ms):
    """Return the ids of the requests that an ideal scheduler serves on time.

    The most urgent requests get their time first, those of a priority by the time at
    which they are due. Each stage gets the earliest time of its pool that is left, in
    pieces as small as needed; result space and calls that are not full cost nothing.

    Parameters
    ----------
    requests : iterable of bench_hardload.Request
    capacity : callable
        ``capacity(pool, at_ms)`` gives the pieces that a pool does in each ms.
    engine_ms : float

    Returns
    -------
    set of int
    """
    used = collections.defaultdict(float)
    found = set()
    in_order = sorted(
        requests, key=lambda r: (r.kind.priority, r.at_ms + r.kind.target_ms)
    )
    for request in in_order:
        due_ms = request.at_ms + request.kind.target_ms - engine_ms
        taken = _plan(request, due_ms, capacity, used)
        if taken is not None:
            found.add(id(request))
            for key, n_pieces in taken.items():
                used[key] += n_pieces
    return found


def _plan(request, due_ms, capacity, used):
    """Return the pieces in each pool's slots that a request takes, or None."""
    taken = collections.defaultdict(float)
    ends_ms = []
    for row in request.rows:
        at_ms = max([request.at_ms, *(ends_ms[source] for source in row.after)])
        left = float(row.n_pieces)
        while left > 1e-9 and at_ms < due_ms:
            key = (row.pool, int(at_ms // SLOT_MS))
            room = SLOT_MS * capacity(row.pool, at_ms) - used[key] - taken[key]
            n_pieces = min(left, max(0.0, room))
            taken[key] += n_pieces
            left -= n_pieces
            if left > 1e-9:
                at_ms = (key[1] + 1) * SLOT_MS
        if left > 1e-9:
            return None
        # A call takes this long, however its pieces are spread.
        ends_ms.append(at_ms + 200.0 if row.n_pieces else at_ms)
    return taken if max(ends_ms) <= due_ms else None
