"""Heads of requests and replies as the platform spells them."""

import math

from teaselwall import errors, protocols
from teaselwall.platform import names

BEARER = "bearer "
INPUTS_GONE = 409
MS_PER_S = 1000


class UsersProtocol(protocols.Protocol):
    """HTTP as the platform's callers and back ends speak it."""

    __slots__ = ()

    def read_request(self, scope):
        """Return the head of a request; see ``protocols.Protocol``."""
        given = {name.lower(): value for name, value in scope["headers"]}
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        return protocols.RequestHead(
            id=_text(given, names.REQUEST_ID),
            method=scope["method"].encode(),
            host=_host(_text(given, b"host")),
            path=scope["raw_path"].decode("latin-1"),
            target=target,
            access_key=_access_key(_text(given, names.AUTHORIZATION)),
            caller_timeout_ms=_number(given, names.DEADLINE_MS),
            last_event=_text(given, names.LAST_EVENT_ID),
            parts=_parts(_text(given, names.PROMPT_PREFIX)),
            n_pieces=_counts(_text(given, names.PIECES)),
            stage_key=_text(given, names.PIECE_KEY),
            headers=_passed_on(scope["headers"], names.OWN),
        )

    def request_headers(self, head, attempt):
        """Return an attempt's headers; see ``protocols.Protocol``."""
        headers = list(head.headers)
        headers.append((names.DEADLINE_MS, b"%d" % max(1, attempt.remaining_ms)))
        headers.append((names.EXPECT_INSTANCE, names.instance(attempt.incarnation)))
        if attempt.organisation:
            headers.append((names.TENANT, attempt.organisation.encode()))
        if attempt.streams:
            headers.append((names.REQUEST_PRIORITY, b"%d" % attempt.priority))
        if attempt.inputs:
            headers.append((names.INPUTS, ",".join(attempt.inputs).encode()))
        if attempt.last_event:
            headers.append((names.LAST_EVENT_ID, attempt.last_event.encode()))
        if attempt.n_body_bytes or head.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % attempt.n_body_bytes))
        return headers

    def read_reply(self, status, headers, head):
        """Return the head of a reply; see ``protocols.Protocol``."""
        given = {name.lower(): value for name, value in headers}
        not_run = names.not_run(status, given)
        same_request = _text(given, names.REQUEST_ID) == head.id
        stamped = names.SERVER_STAMP in given or not 200 <= status < 300
        return protocols.ReplyHead(
            status=status,
            genuine=same_request and stamped,
            not_run=not_run and (same_request or names.REQUEST_ID not in given),
            inputs_gone=status == INPUTS_GONE,
            load=_load(_text(given, names.SERVER_LOAD)),
            headers=_passed_on(headers, ()),
        )

    def refusal_headers(self, error, head):
        """Return the headers of an own answer; see ``protocols.Protocol``."""
        headers = [(b"content-type", b"application/problem+json"), *error.headers]
        if head is not None and head.id:
            headers.append((names.REQUEST_ID, head.id.encode("latin-1")))
        if error.retry_after_ms:
            after_s = math.ceil(error.retry_after_ms) / MS_PER_S
            headers.append((names.RETRY_AFTER, f"{after_s:.3f}".encode()))
        return headers


def _passed_on(headers, own):
    """Return the headers that go further than one connection."""
    bound = set(names.HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == b"connection":
            bound.update(token.strip().lower() for token in value.split(b","))
    # The id is what replies are matched by, whatever the caller calls hop-by-hop.
    bound -= {names.REQUEST_ID, b"host", names.SERVER_STAMP}
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in bound and name.lower() not in own
    )


def _text(given, name):
    return given.get(name, b"").decode("latin-1").strip()


def _host(value):
    host, separator, port = value.rpartition(":")
    return host if separator and port.isdecimal() else value


def _access_key(value):
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return value[len(BEARER) :].strip()


def _number(given, name):
    text = _text(given, name)
    if not text:
        return None
    try:
        number = float(text)
    except ValueError as error:
        raise errors.InvalidRequest(f"{name.decode()} is no number.") from error
    if not math.isfinite(number):
        raise errors.InvalidRequest(f"{name.decode()} is no number.")
    return number


def _parts(text):
    """Decode ``ID:TOKENS`` entries; a prompt without them has no known parts."""
    parts = []
    for entry in filter(None, text.split(",")):
        part, _, tokens = entry.strip().partition(":")
        if not tokens.isdecimal():
            return ()
        parts.append(protocols.PromptPart(part, int(tokens)))
    return tuple(parts)


def _counts(text):
    counts = [entry.strip() for entry in filter(None, text.split(","))]
    if not all(count.isdecimal() for count in counts):
        raise errors.InvalidRequest("pieces holds what is no count.")
    return tuple(int(count) for count in counts)


def _load(text):
    """Decode requests running, waiting and run at once."""
    numbers = [entry.strip() for entry in text.split(",")]
    if len(numbers) != 3 or not all(number.isdecimal() for number in numbers):
        return None
    return tuple(int(number) for number in numbers)
