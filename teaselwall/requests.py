"""State of one caller's request."""

import xxhash

from teaselwall import errors


class Request:
    """A parsed and validated request.

    Parameters
    ----------
    id : str
        Unique over all entry hosts; answers are matched to requests by it.
    organisation : str
    document : generated.service.Service
    input : object
        The caller's input.
    key : str
        Idempotency key, empty if none was given.
    body_hash : str
        Hash of the caller's body, to detect different requests with the same key.
    deadline : clock.Deadline
    span : opentelemetry.trace.Span
    content : str
        Hash of organisation, service and input, which identifies a request that is
        sent again, whatever its key; ``body_hash`` if empty.
    organisation_limits : generated.service.Organisation, optional
        The organisation's share and limit.

    Attributes
    ----------
    may_have_run : bool
        Whether a backend server may have run any of its stages.
    n_pending : int
        Calls of stages that are not idempotent in progress; their outcome is not
        known yet.
    has_effect : bool
        Whether a stage that is not idempotent has run.
    key_looked_up : bool
        Whether the record of the key was looked up.
    """

    __slots__ = (
        "id",
        "organisation",
        "document",
        "input",
        "key",
        "body_hash",
        "deadline",
        "span",
        "content",
        "organisation_limits",
        "may_have_run",
        "n_pending",
        "has_effect",
        "key_looked_up",
    )

    def __init__(
        self,
        id,
        organisation,
        document,
        input,
        key,
        body_hash,
        deadline,
        span,
        content="",
        organisation_limits=None,
    ):
        self.id = id
        self.organisation = organisation
        self.document = document
        self.input = input
        self.key = key
        self.body_hash = body_hash
        self.deadline = deadline
        self.span = span
        self.content = content or body_hash
        self.organisation_limits = organisation_limits
        self.may_have_run = False
        self.n_pending = 0
        self.has_effect = False
        self.key_looked_up = False

    def record_outcome(self, outcome):
        """Record the outcome of one attempt at one stage."""
        if outcome is not errors.Outcome.NOT_RUN:
            self.may_have_run = True

    def outcome(self):
        """Return whether the request has run, after it has failed."""
        if self.has_effect:
            return errors.Outcome.RAN
        known = not self.may_have_run and not self.n_pending
        if not self.document.idempotent:
            # An earlier request with the same key may have run.
            known = known and self.key_looked_up
        return errors.Outcome.NOT_RUN if known else errors.Outcome.UNKNOWN


def content_hash(organisation, service, text):
    """Return the hash that identifies a request whatever its key is.

    Parameters
    ----------
    organisation, service : str
    text : bytes
        The input as canonical JSON.

    Returns
    -------
    str
    """
    name = f"{organisation}/{service}/".encode()
    return xxhash.xxh3_128_hexdigest(name + text)
