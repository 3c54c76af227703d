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

MISDIRECTED = 421

# They concern one connection only.
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
# Only this system may set them; a caller's are dropped.
OWN = frozenset(
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


def instance(incarnation):
    """Return the id that a server goes by, of its incarnation."""
    return incarnation.rpartition("@")[0].encode()


def not_run(status, headers):
    """Return whether a reply says that the server did not run the request.

    Parameters
    ----------
    status : int
    headers : dict of bytes to bytes
        By lower-case name.
    """
    return status == MISDIRECTED or NOT_EXECUTED in headers
