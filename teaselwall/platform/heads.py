"""HTTP headers of requests and replies in the platform's protocol."""

import math

from teaselwall import crashsuspects, errors, protocols
from teaselwall.platform import names

BEARER_PREFIX = "bearer "
INPUTS_GONE_STATUS = 409
MS_PER_S = 1000
BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE")
# Pieces of all stages of one request; each takes memory at the coordinator.
MAX_PIECES = 10_000
# Parts of one prompt that the choice of an engine looks at.
MAX_PROMPT_PARTS = 256


class UsersProtocol(protocols.Protocol):
    """HTTP protocol of the platform's callers and back ends."""

    __slots__ = ()

    def read_request(self, scope):
        """Return the head of a request; see ``protocols.Protocol``."""
        by_name = {name.lower(): value for name, value in scope["headers"]}
        target = scope["raw_path"]
        prompt_parts, joined_parts = _prompt_parts(
            _header_text(by_name, names.PROMPT_PREFIX)
        )
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        return protocols.RequestHead(
            id=_header_text(by_name, names.REQUEST_ID),
            method=scope["method"].encode(),
            host=_without_port(_header_text(by_name, b"host")),
            path=scope["raw_path"].decode("latin-1"),
            target=target,
            access_key=_access_key(_header_text(by_name, names.AUTHORIZATION)),
            caller_timeout_ms=_header_number(by_name, names.DEADLINE_MS),
            last_event=_header_text(by_name, names.LAST_EVENT_ID),
            resumed=_header_text(by_name, names.RESUMES),
            prompt_parts=prompt_parts,
            joined_parts=joined_parts,
            n_pieces=_piece_counts(_header_text(by_name, names.PIECES)),
            stage_key=_header_text(by_name, names.PIECE_KEY),
            headers=_forwarded_headers(scope["headers"], names.INTERNAL),
            received=_forwarded_headers(scope["headers"], names.SET_ANEW),
        )

    def request_headers(self, head, attempt):
        """Return an attempt's headers; see ``protocols.Protocol``."""
        headers = list(head.headers)
        headers.append((names.DEADLINE_MS, b"%d" % max(1, attempt.remaining_ms)))
        headers.append((names.EXPECT_INSTANCE, names.instance_id(attempt.incarnation)))
        if attempt.organisation:
            headers.append((names.TENANT, attempt.organisation.encode()))
        if attempt.streams:
            headers.append((names.REQUEST_PRIORITY, b"%d" % attempt.priority))
        if attempt.inputs:
            headers.append((names.INPUTS, ",".join(attempt.inputs).encode()))
        if attempt.last_event:
            headers.append((names.LAST_EVENT_ID, attempt.last_event.encode()))
        if attempt.n_body_bytes or head.method not in BODILESS_METHODS:
            headers.append((b"content-length", b"%d" % attempt.n_body_bytes))
        return headers

    def handover_headers(self, head, handed):
        """Return the headers for another host; see ``protocols.Protocol``."""
        headers = list(head.received)
        headers.append((names.DEADLINE_MS, b"%d" % max(1, handed.remaining_ms)))
        if handed.last_event:
            headers.append((names.LAST_EVENT_ID, handed.last_event.encode()))
        if handed.resumed:
            headers.append((names.RESUMES, handed.resumed.encode()))
        if handed.n_body_bytes or head.method not in BODILESS_METHODS:
            headers.append((b"content-length", b"%d" % handed.n_body_bytes))
        return headers

    def read_reply(self, status, headers, head):
        """Return the head of a reply; see ``protocols.Protocol``."""
        by_name = _by_name(headers)
        not_run = names.is_not_run(status, by_name)
        same_request = _header_text(by_name, names.REQUEST_ID) == head.id
        may_be_its = same_request or names.REQUEST_ID not in by_name
        has_stamp = names.SERVER_STAMP in by_name or not 200 <= status < 300
        return protocols.ReplyHead(
            status=status,
            genuine=same_request and has_stamp,
            not_run=not_run and may_be_its,
            inputs_gone=status == INPUTS_GONE_STATUS,
            load=names.load(status, by_name),
            headers=_forwarded_headers(headers, ()),
            notice=names.notice(status, by_name),
            misdirected=status == names.MISDIRECTED_STATUS and may_be_its,
        )

    def refusal_headers(self, error, head):
        """Return the headers of this host's own replies; see ``protocols.Protocol``."""
        headers = [(b"content-type", b"application/problem+json"), *error.headers]
        if head is not None and head.id:
            headers.append((names.REQUEST_ID, head.id.encode("latin-1")))
        if error.retry_after_ms:
            after_s = math.ceil(error.retry_after_ms) / MS_PER_S
            headers.append((names.RETRY_AFTER, f"{after_s:.3f}".encode()))
        return headers


def _by_name(headers):
    """Return a reply's headers by name in lower case, all of its limits as one list."""
    by_name = {name.lower(): value for name, value in headers}
    if names.SERVER_LIMIT in by_name:
        limits = [v for name, v in headers if name.lower() == names.SERVER_LIMIT]
        by_name[names.SERVER_LIMIT] = b",".join(limits)
    return by_name


def _forwarded_headers(headers, internal):
    """Return the headers without those that are hop-by-hop or in ``internal``."""
    hop_by_hop = set(names.HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == b"connection":
            hop_by_hop.update(token.strip().lower() for token in value.split(b","))
    # These headers are passed on even if the Connection header names them: replies are
    # matched to their requests by the id.
    hop_by_hop -= {names.REQUEST_ID, b"host", names.SERVER_STAMP}
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in hop_by_hop and name.lower() not in internal
    )


def _header_text(by_name, name):
    return by_name.get(name, b"").decode("latin-1").strip()


def _without_port(value):
    host, separator, port = value.rpartition(":")
    return host if separator and port.isdecimal() else value


def _access_key(value):
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ""
    return value[len(BEARER_PREFIX) :].strip()


def _header_number(by_name, name):
    text = _header_text(by_name, name)
    if not text:
        return None
    try:
        number = float(text)
    except ValueError as error:
        raise errors.InvalidRequest(
            f"{name.decode()} is not a finite number."
        ) from error
    if not math.isfinite(number):
        raise errors.InvalidRequest(f"{name.decode()} is not a finite number.")
    return number


def _prompt_parts(text):
    """Decode ``ID:TOKENS`` entries; return ids alone if an entry is malformed.

    Returns
    -------
    tuple of (tuple of protocols.PromptPart, str)
        See ``protocols.RequestHead``.
    """
    entries = [entry.strip().partition(":") for entry in text.split(",") if entry]
    if not all(names.is_count(tokens) for _, _, tokens in entries):
        return (), ",".join(crashsuspects.short(part) for part, _, _ in entries)
    parts = [
        protocols.PromptPart(crashsuspects.short(part), int(tokens))
        for part, _, tokens in entries
    ]
    return _joined(parts) if len(parts) > MAX_PROMPT_PARTS else (tuple(parts), "")


def _joined(parts):
    """Return a long prompt with fewer parts: those before its last two are joined."""
    first, last = parts[: MAX_PROMPT_PARTS - 3], parts[-2:]
    between = parts[MAX_PROMPT_PARTS - 3 : -2]
    n_tokens = sum(part.n_tokens for part in between)
    joined = protocols.PromptPart(between[-1].id, n_tokens)
    return (*first, joined, *last), ",".join(part.id for part in between)


def _piece_counts(text):
    counts = [entry.strip() for entry in filter(None, text.split(","))]
    if not all(map(names.is_count, counts)):
        raise errors.InvalidRequest("pieces must be a list of non-negative integers.")
    numbers = tuple(int(count) for count in counts)
    if sum(numbers) > MAX_PIECES:
        raise errors.InvalidRequest(f"A request has at most {MAX_PIECES} pieces.")
    return numbers
