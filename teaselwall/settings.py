"""Settings of a teaselwalld process: reading, defaults and checks.

The defaults table is the generated struct; ``docs/settings.md`` documents each
setting.
"""

import ipaddress
import pathlib
import re
import tomllib

import expression
import msgspec

from teaselwall import errors
from teaselwall.generated import settings as schema

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
UNKNOWN_FIELD = re.compile(r"unknown field `([^`]+)`")
MISSING_FIELD = re.compile(r"missing required field `([^`]+)`")
SECRET_SECTION = "access"
HIDDEN = "hidden"
MAX_SHOWN = 100


def read(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : str or pathlib.Path

    Returns
    -------
    expression.Result
        ``schema.Settings``, or an ``errors.SettingsError`` naming file, key,
        value, what is allowed and the remedy.
    """
    return read_document(path, schema.Settings).bind(lambda s: check(s, path))


def read_document(path, kind):
    """Read a TOML file into a generated struct.

    Parameters
    ----------
    path : str or pathlib.Path
    kind : type
        Struct class to decode into.

    Returns
    -------
    expression.Result
    """
    try:
        with pathlib.Path(path).open("rb") as file:
            body = file.read(MAX_DOCUMENT_BYTES + 1)
        text = body.decode()
    except (OSError, ValueError) as error:
        remedy = "Give a readable file in UTF-8."
        return fault(path, "", f"cannot be read ({error})", remedy)
    return parse_document(text, kind, path)


def parse_document(text, kind, source):
    """Decode TOML text into a generated struct.

    Parameters
    ----------
    text : str
    kind : type
    source : str
        Name for messages.

    Returns
    -------
    expression.Result
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        reason = f"is longer than {MAX_DOCUMENT_BYTES} bytes"
        return fault(source, "", reason, "Split the document or shorten it.")
    try:
        raw = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return fault(source, "", f"is not TOML ({error})", "Correct the syntax.")
    try:
        return expression.Ok(msgspec.convert(raw, kind))
    except msgspec.ValidationError as error:
        key, reason = _explain(str(error))
        shown = _shown(raw, key)
        remedy = "Correct or remove the key; docs/settings.md lists what is allowed."
        return fault(source, key, f"{reason}{shown}", remedy)


def check(settings, source):
    """Check settings against one another.

    Parameters
    ----------
    settings : schema.Settings
    source : str

    Returns
    -------
    expression.Result
    """
    for key, address in _addresses(settings):
        reason = address_fault(address)
        if reason:
            remedy = "Write an IP number and a port, such as '10.0.0.1:8100'."
            return fault(source, key, f"{reason} (value {address!r})", remedy)
    return _check_together(settings, source)


def _check_together(settings, source):
    if settings.listen.callers == settings.listen.peers:
        value = settings.listen.peers
        reason = f"equals listen.callers (value {value!r})"
        return fault(source, "listen.peers", reason, "Give each its own port.")
    if settings.access.peer_key == settings.access.operator_key:
        reason = "equals access.peer_key"
        return fault(source, "access.operator_key", reason, "Use two different keys.")
    membership = settings.membership
    if membership.dead_after_ms < 2 * membership.exchange_interval_ms:
        value = membership.dead_after_ms
        reason = f"is less than twice exchange_interval_ms (value {value})"
        remedy = "Raise dead_after_ms or lower exchange_interval_ms."
        return fault(source, "membership.dead_after_ms", reason, remedy)
    claims = settings.claims
    if claims.era_ms * (claims.n_eras_kept + 1) > claims.retention_ms:
        reason = (
            f"is shorter than {claims.n_eras_kept + 1} eras of era_ms "
            f"{claims.era_ms} (value {claims.retention_ms})"
        )
        remedy = "Raise retention_ms or lower era_ms or n_eras_kept."
        return fault(source, "claims.retention_ms", reason, remedy)
    if settings.traces.exporter == "file" and not settings.traces.file:
        reason = "is empty while traces.exporter is 'file'"
        return fault(source, "traces.file", reason, "Name a file.")
    return expression.Ok(settings)


def _addresses(settings):
    yield "listen.callers", settings.listen.callers
    yield "listen.peers", settings.listen.peers
    yield "platform.log_service", settings.platform.log_service
    yield "platform.host_list", settings.platform.host_list
    if settings.platform.weight_store:
        yield "platform.weight_store", settings.platform.weight_store
    for index, seed in enumerate(settings.membership.seeds):
        yield f"membership.seeds[{index}]", seed


def address_fault(address):
    """Return what is wrong with an ``IP:port`` text, or an empty text."""
    host, separator, port = address.rpartition(":")
    if not separator:
        return "has no port"
    try:
        number = _ip_number(host)
    except ValueError:
        return "has no IP number (IPv6 in brackets)"
    if number.is_unspecified or number.is_multicast:
        return "names no single host"
    known = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not known or not 0 < int(port) <= MAX_PORT:
        return f"has a port outside 1 to {MAX_PORT}"
    return ""


def _ip_number(host):
    if host.startswith("[") and host.endswith("]"):
        return ipaddress.IPv6Address(host[1:-1])
    return ipaddress.IPv4Address(host)


def fault(source, key, reason, remedy):
    """Return an error result that names file, key, reason and remedy."""
    where = f"{source}: {key}" if key else f"{source}"
    return expression.Error(errors.SettingsError(f"{where} {reason}.", remedy=remedy))


def _explain(message):
    reason, _, path = message.partition(" - at `")
    path = path.rstrip("`").removeprefix("$").lstrip(".")
    unknown = UNKNOWN_FIELD.search(reason)
    if unknown:
        path = f"{path}.{unknown.group(1)}".lstrip(".")
        return path, "is not a known key"
    missing = MISSING_FIELD.search(reason)
    if missing:
        path = f"{path}.{missing.group(1)}".lstrip(".")
        return path, "is missing"
    return path, f"is wrong: {reason}"


def _shown(raw, path):
    value = _lookup(raw, path)
    if value is None or isinstance(value, dict | list):
        return ""
    shown = HIDDEN if path.startswith(SECRET_SECTION) else repr(value)[:MAX_SHOWN]
    return f" (value {shown})"


def _lookup(raw, path):
    value = raw
    for part in re.findall(r"[^.\[\]]+", path):
        if isinstance(value, list) and part.isdecimal() and int(part) < len(value):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value
