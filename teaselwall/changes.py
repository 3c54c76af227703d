"""Building, decoding and validating changes of the configuration."""

import secrets

import expression
import msgspec

from teaselwall import errors, services
from teaselwall.generated import messages
from teaselwall.generated import service as schema

MAX_DOCUMENT_BYTES = 2 * 1024 * 1024
MAX_ORGANISATION_CHANGES = 1000  # in a change of kind ``organisations``
ERA_SUBJECT = "era"


def new_id():
    """Return a random identifier for an operator's command."""
    return secrets.token_hex(8)


def service(document, base, author, change=""):
    """Return the change that puts a complete service document in force.

    Parameters
    ----------
    document : generated.service.Service
    base : int
        Configuration version that the author saw.
    author : str
    change : str, optional
        Identifier of the command; a new one by default.
    """
    return _change("service", document.service, base, author, change, document)


def organisations(name, entries, base, author, change=""):
    """Return the change that sets some of a service's organisations."""
    content = {"entries": entries}
    return _change("organisations", name, base, author, change, content)


def data_centre(name, out, base, author, change=""):
    """Return the change that takes a data centre out of service or brings it back."""
    return _change("data_centre", name, base, author, change, {"out": out})


def server(address, drained, incarnation, base, author, change=""):
    """Return the change that drains a backend server or ends its draining."""
    content = {"drained": drained, "incarnation": incarnation}
    return _change("server", address, base, author, change, content)


def era(number, base, author, change=""):
    """Return the change that starts a new era of idempotency keys."""
    return _change("era", ERA_SUBJECT, base, author, change, {"era": number})


def _change(kind, subject, base, author, change, content):
    return messages.ConfigurationChange(
        kind=kind,
        subject=subject,
        base=base,
        change=change or new_id(),
        author=author,
        content=msgspec.to_builtins(content),
    )


def record(change):
    """Return a change as the data of a log record."""
    return msgspec.to_builtins(change)


def read(data):
    """Return the change in a log record, or None if it holds no valid change."""
    try:
        change = msgspec.convert(data, messages.ConfigurationChange)
        return change if _has_valid_content(change) else None
    except msgspec.ValidationError:
        return None


def read_chunk(data):
    """Return the snapshot chunk in a log record, or None if it holds none."""
    try:
        return msgspec.convert(data, messages.SnapshotChunk)
    except msgspec.ValidationError:
        return None


def read_restart(offset, data):
    """Return the snapshot that a restart record puts in force, or None.

    The record is valid only at the offset that its author expected. A restart that
    is appended late, or after another record, is ignored by every reader.
    """
    try:
        record = msgspec.convert(data, messages.ConfigurationRestart)
        if record.end != offset:
            return None
        return msgspec.json.decode(record.text, type=messages.ConfigurationSnapshot)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return None


def ends_snapshot(data):
    """Return whether a log record is the last chunk of a snapshot.

    The writer appends the last chunk only after all others are in the log.
    """
    chunk = read_chunk(data)
    return chunk is not None and chunk.index == chunk.n_chunks - 1


def _has_valid_content(change):
    content = change.content
    if change.kind == "organisations":
        msgspec.convert(content, messages.OrganisationsChange)
        return True
    if not isinstance(content, dict):
        return False
    if change.kind == "data_centre":
        return isinstance(content.get("out"), bool)
    if change.kind == "server":
        return isinstance(content.get("drained"), bool)
    if change.kind == "era":
        return isinstance(content.get("era"), int)
    return True


def changed_organisations(change):
    """Return the organisations that a change of kind ``organisations`` sets."""
    content = msgspec.to_builtins(change.content)
    names = msgspec.convert(content, messages.OrganisationsChange).entries
    return [
        schema.Organisation(
            name=entry.name, share=entry.share, limit_per_s=entry.limit_per_s
        )
        for entry in names
    ]


def smallest_change(new, old, base, author, change):
    """Return the smallest change that turns the old document into the new one.

    Parameters
    ----------
    new : generated.service.Service
    old : generated.service.Service or None
    base : int
    author, change : str

    Returns
    -------
    messages.ConfigurationChange
        Of kind ``organisations`` if only organisations differ, at most
        ``MAX_ORGANISATION_CHANGES`` of them, none is removed and each changed one has
        a share; otherwise of kind ``service``.
    """
    if old is None or not _same_apart_from_organisations(new, old):
        return service(new, base, author, change)
    before = {entry.name: entry for entry in old.organisations}
    kept = {entry.name for entry in new.organisations}
    changed = [e for e in new.organisations if before.get(e.name) != e]
    small = 0 < len(changed) <= MAX_ORGANISATION_CHANGES
    if not small or before.keys() - kept or not all(e.share for e in changed):
        return service(new, base, author, change)
    return organisations(new.service, changed, base, author, change)


def _same_apart_from_organisations(new, old):
    return msgspec.structs.replace(new, organisations=[]) == msgspec.structs.replace(
        old, organisations=[]
    )


def read_document(data, source):
    """Decode and validate a service document given as JSON data.

    Returns
    -------
    expression.Result
        ``generated.service.Service`` or an ``errors.InvalidRequest``.
    """
    if len(msgspec.json.encode(data)) > MAX_DOCUMENT_BYTES:
        return _invalid_document(
            f"The service document is larger than {MAX_DOCUMENT_BYTES} bytes."
        )
    try:
        document = msgspec.convert(data, schema.Service)
    except msgspec.ValidationError as error:
        return _invalid_document(
            f"The document of {source} cannot be decoded: {error}."
        )
    return services.check(document, source).map_error(_as_invalid_request)


def _invalid_document(detail):
    remedy = "Correct it and check it with 'teaselwall service check FILE'."
    return expression.Error(errors.InvalidRequest(detail, remedy=remedy))


def _as_invalid_request(error):
    return errors.InvalidRequest(error.detail, remedy=error.remedy)
