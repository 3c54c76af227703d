"""Header names of the platform's protocol, in lower case."""

REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
AUTHORIZATION = b"authorization"
TENANT = b"tenant"
EXPECT_INSTANCE = b"expect-instance"
REQUEST_PRIORITY = b"request-priority"
LAST_EVENT_ID = b"last-event-id"
PROMPT_PREFIX = b"prompt-prefix"
PIECES = b"pieces"
PIECE_KEY = b"piece-key"
INPUTS = b"inputs"
SERVER_STAMP = b"server-stamp"
SERVER_LOAD = b"server-load"
NOT_EXECUTED = b"not-executed"
RETRY_AFTER = b"retry-after"

MISDIRECTED_STATUS = 421

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
