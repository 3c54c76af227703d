"""Header names of the platform's protocol, in lower case."""

import math

from teaselwall import protocols

REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
AUTHORIZATION = b"authorization"
TENANT = b"tenant"
EXPECT_INSTANCE = b"expect-instance"
REQUEST_PRIORITY = b"request-priority"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
PROMPT_PREFIX = b"prompt-prefix"
PIECES = b"pieces"
PIECE_KEY = b"piece-key"
INPUTS = b"inputs"
SERVER_STAMP = b"server-stamp"
SERVER_LOAD = b"server-load"
NOT_EXECUTED = b"not-executed"
RETRY_AFTER = b"retry-after"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
SERVER_BRITTLE = b"server-brittle"
STORE_ERA = b"store-era"

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# A server that asks for a longer rest is tried again after this time.
MAX_REST_MS = 600_000.0
MS_PER_S = 1000.0
MAX_COUNT_DIGITS = 9
MAX_REJECTED = 1_000_000
# Of a machine that works as usual. One that states more than a hundred times that is
# not believed.
USUAL_SLOWNESS = 100.0
MAX_SLOWNESS = 100 * USUAL_SLOWNESS
N_COUNTS_OF_LOAD = 3

# Headers that apply to one connection only.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
# Headers that only the entry host may set on requests to back ends; headers of these
# names from a caller are dropped.
INTERNAL = frozenset(
    (
        DEADLINE_MS,
        AUTHORIZATION,
        TENANT,
        EXPECT_INSTANCE,
        REQUEST_PRIORITY,
        LAST_EVENT_ID,
        INPUTS,
        b"expect-version",
        b"pin-ms",
        b"hold",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
# Headers that a host sets anew on a request that it hands over to another host.
SET_ANEW = frozenset((DEADLINE_MS, LAST_EVENT_ID, RESUMES))


def instance_id(incarnation):
    """Return the instance id of a server, the part of its incarnation before ``@``."""
    return incarnation.rpartition("@")[0].encode()


def is_not_run(status, headers):
    """Return whether a reply states that the server did not run the request.

    Parameters
    ----------
    status : int
    headers : dict of bytes to bytes
        By name in lower case.
    """
    return status == MISDIRECTED_STATUS or NOT_EXECUTED in headers


def notice(status, headers):
    """Return what a server says about itself in a reply, as ``protocols.Notice``.

    Parameters
    ----------
    status : int
    headers : dict of bytes to bytes
        By name in lower case.
    """
    if status == MISDIRECTED_STATUS:
        # Another server than the intended one answers at this address.
        return protocols.NO_NOTICE
    leaving = headers.get(SERVER_LEAVING, b"").strip() == b"1"
    rest_ms = 0.0
    if status == UNAVAILABLE_STATUS:
        rest_ms = _rest_ms(headers.get(RETRY_AFTER, b""))
    limit_per_s = (
        _limit_per_s(headers[SERVER_LIMIT]) if SERVER_LIMIT in headers else None
    )
    max_rejected = _max_rejected(headers.get(SERVER_BRITTLE))
    return protocols.Notice(leaving, rest_ms, limit_per_s, max_rejected)


def load(status, headers):
    """Return the load that a server states in a reply, as ``protocols.Load``.

    Parameters
    ----------
    status : int
    headers : dict of bytes to bytes
        By name in lower case.

    Returns
    -------
    protocols.Load or None
        None without the header, if one of its counts can't be read, and if another
        server answers at the address. Further figures than the known ones are ignored.
    """
    text = headers.get(SERVER_LOAD)
    if text is None or status == MISDIRECTED_STATUS:
        return None
    figures = [figure.strip() for figure in text.decode("latin-1").split(",")]
    counts = figures[:N_COUNTS_OF_LOAD]
    if len(counts) < N_COUNTS_OF_LOAD or not all(map(is_count, counts)):
        return None
    slowness = None
    if len(figures) > N_COUNTS_OF_LOAD:
        slowness = _slowness(figures[N_COUNTS_OF_LOAD])
    return protocols.Load(*map(int, counts), slowness)


def is_count(text):
    """Return whether a text is a whole number of a size that can be computed with."""
    return text.isdecimal() and len(text) <= MAX_COUNT_DIGITS


def _slowness(text):
    """Return a stated slowness, None if it is not a number in the possible range."""
    try:
        slowness = float(text)
    except ValueError:
        return None
    if "_" in text or not 0 < slowness <= MAX_SLOWNESS:
        return None
    return slowness / USUAL_SLOWNESS


def _max_rejected(text):
    """Return how many requests a brittle server may reject in a second.

    None without the header. A value that can't be read still says that the server is
    brittle, so it counts as the least.
    """
    if text is None:
        return None
    text = text.strip()
    if not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
        return 0
    return min(int(text), MAX_REJECTED)


def _limit_per_s(text):
    """Return the lowest of the limits in a header, NaN if none can be read."""
    limits = [_limit(part) for part in text.split(b",")]
    return min((x for x in limits if not math.isnan(x)), default=math.nan)


def _limit(text):
    try:
        limit = float(text)
    except ValueError:
        return math.nan
    return limit if 0 <= limit < math.inf and b"_" not in text else math.nan


def _rest_ms(text):
    """Return a retry-after time in ms; 0 if it is missing, unreadable or negative."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    if not seconds > 0:
        return 0.0
    return min(MAX_REST_MS, seconds * MS_PER_S)
