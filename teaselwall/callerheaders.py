"""Headers of callers' requests to the product's own interface."""

import re

from teaselwall import errors

KEY_PATTERN = re.compile(r"[!-~]{1,128}")
# So many digits are above the deadline of any service document.
MAX_DEADLINE_DIGITS = 18


def outcome_if_unread(headers):
    """Return the outcome to report for a request that is refused before it is parsed.

    A request with an idempotency key may be a retry of a request that has run, so
    its outcome is unknown.
    """
    if "idempotency-key" in headers:
        return errors.Outcome.UNKNOWN
    return errors.Outcome.NOT_RUN


def read_organisation(headers, state, service):
    """Return the organisation that the Organisation header names.

    Raises
    ------
    errors.InvalidRequest
        It is not one of the service's organisations.
    """
    name = headers.get("organisation", "")
    organisation = state.organisation(service, name)
    if organisation is None:
        detail = f"The service {service} does not serve organisation {name!r}."
        remedy = "Name one of its organisations in the Organisation header."
        raise errors.InvalidRequest(detail, remedy=remedy)
    return organisation


def read_deadline(headers, service_deadline_ms):
    """Return the caller's deadline in ms, at most that of the service document.

    Raises
    ------
    errors.InvalidRequest
        The Deadline-Ms header is not a whole number above 0.
    """
    text = headers.get("deadline-ms")
    if text is None:
        return service_deadline_ms
    digits = text.lstrip("0")
    if not text.isdecimal() or not digits:
        remedy = "Send Deadline-Ms as a whole number of milliseconds above 0."
        raise errors.InvalidRequest("Deadline-Ms is not valid.", remedy=remedy)
    return min(int(digits[:MAX_DEADLINE_DIGITS]), service_deadline_ms)


def read_key(headers, document):
    """Return the idempotency key, or an empty text if the caller sent none.

    Raises
    ------
    errors.InvalidRequest
        The key is not valid, or the service is not idempotent and there is no key.
    """
    key = headers.get("idempotency-key", "")
    if not key and not document.idempotent:
        remedy = "Send an Idempotency-Key with the prefix from GET /v1/entry-hosts."
        detail = f"{document.service} is not idempotent; requests need a key."
        raise errors.InvalidRequest(detail, remedy=remedy)
    if key and not KEY_PATTERN.fullmatch(key):
        remedy = "Use 1 to 128 visible ASCII characters."
        raise errors.InvalidRequest("Idempotency-Key is not valid.", remedy=remedy)
    return key
