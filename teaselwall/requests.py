"""One caller's request on its way through the stages."""


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
    )

    def __init__(
        self, id, organisation, document, input, key, body_hash, deadline, span
    ):
        self.id = id
        self.organisation = organisation
        self.document = document
        self.input = input
        self.key = key
        self.body_hash = body_hash
        self.deadline = deadline
        self.span = span
