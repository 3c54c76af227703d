"""One caller's request on its way through the stages."""

import xxhash

from teaselwall import errors


class Request:
    """A request that has been read and checked.

    Parameters
    ----------
    id : str
        Unique over all entry hosts; answers are matched by it.
    organisation : str
    document : generated.service.Service
    input : object
        The caller's input.
    key : str
        Idempotency key, empty where none was given.
    body_hash : str
        Hash of the caller's body, for telling two requests of one key apart.
    deadline : clock.Deadline
    span : opentelemetry.trace.Span
    content : str
        Hash of organisation, service and input, by which a request that is sent
        again is recognised; the body's hash where none is given.
    account : generated.service.Organisation, optional
        The organisation's share and limit.

    Attributes
    ----------
    sent : bool
        Whether a backend server may have taken any stage of it.
    n_pending : int
        Keyed calls under way; this host does not know what came of them.
    effective : bool
        Whether a stage that is not idempotent has answered.
    looked_up : bool
        Whether the record of the key was asked for.
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
        "account",
        "sent",
        "n_pending",
        "effective",
        "looked_up",
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
        account=None,
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
        self.account = account
        self.sent = False
        self.n_pending = 0
        self.effective = False
        self.looked_up = False

    def record_outcome(self, outcome):
        """Take the outcome of one attempt at one stage."""
        if outcome is not errors.Outcome.NOT_RUN:
            self.sent = True

    def outcome(self):
        """Return what is known of the whole request once it has been given up."""
        if self.effective:
            return errors.Outcome.RAN
        known = not self.sent and not self.n_pending
        if not self.document.idempotent:
            # An earlier sending of the same key may have run.
            known = known and self.looked_up
        return errors.Outcome.NOT_RUN if known else errors.Outcome.UNKNOWN


def content_hash(organisation, service, text):
    """Return the hash by which a request is recognised whatever its key is.

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
