"""Reading and checking the settings file of a teaselwalld process.

Default values come from the generated struct ``generated.settings.Settings``;
``docs/settings.md`` documents each setting.
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
# Printed in error texts in place of an access key.
HIDDEN_VALUE = "hidden"
# Longer values are cut off in error texts.
MAX_VALUE_CHARACTERS = 100


def read(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : str or pathlib.Path

    Returns
    -------
    expression.Result
        ``schema.Settings``, or an ``errors.SettingsError`` whose text names the
        file, the key, its value, the reason and the remedy.
    """
    return read_document(path, schema.Settings).bind(lambda s: check(s, path))


def read_document(path, struct_type):
    """Read a TOML file into a generated struct.

    Parameters
    ----------
    path : str or pathlib.Path
    struct_type : type
        Generated struct class to decode into.

    Returns
    -------
    expression.Result
        The struct, or an ``errors.SettingsError``.
    """
    try:
        with pathlib.Path(path).open("rb") as file:
            body = file.read(MAX_DOCUMENT_BYTES + 1)
        text = body.decode()
    except (OSError, ValueError) as error:
        remedy = "Name a readable file in UTF-8."
        return fault(path, "", f"cannot be read ({error})", remedy)
    return parse_document(text, struct_type, path)


def parse_document(text, struct_type, source):
    """Decode TOML text into a generated struct.

    Parameters
    ----------
    text : str
    struct_type : type
        Generated struct class to decode into.
    source : str
        Name of the document in error texts.

    Returns
    -------
    expression.Result
        The struct, or an ``errors.SettingsError``.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        reason = f"is longer than {MAX_DOCUMENT_BYTES} bytes"
        return fault(source, "", reason, "Shorten or split the document.")
    try:
        raw = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return fault(source, "", f"is not valid TOML ({error})", "Correct the syntax.")
    try:
        return expression.Ok(msgspec.convert(raw, struct_type))
    except msgspec.ValidationError as error:
        key, reason = _key_and_reason(str(error))
        value = _value_text(raw, key)
        remedy = "Correct or remove the key; docs/settings.md lists what is allowed."
        return fault(source, key, f"{reason}{value}", remedy)


def check(settings, source):
    """Check the addresses and the combinations of settings.

    Parameters
    ----------
    settings : schema.Settings
    source : str
        Name of the settings file in error texts.

    Returns
    -------
    expression.Result
        The settings, or an ``errors.SettingsError``.
    """
    for key, address in _addresses(settings):
        reason = address_fault(address)
        if reason:
            remedy = "Write an IP address and a port, such as '10.0.0.1:8100'."
            return fault(source, key, f"{reason} (value {address!r})", remedy)
    return _check_combinations(settings, source)


def _check_combinations(settings, source):
    if settings.listen.callers == settings.listen.peers:
        value = settings.listen.peers
        reason = f"equals listen.callers (value {value!r})"
        return fault(source, "listen.peers", reason, "Give each listener its own port.")
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
    """Return why a text is not a valid ``IP:port``; empty if it is valid."""
    host, separator, port = address.rpartition(":")
    if not separator:
        return "has no port"
    try:
        ip_address = _ip_address(host)
    except ValueError:
        return "has no valid IP address (write IPv6 in brackets)"
    if ip_address.is_unspecified or ip_address.is_multicast:
        return "is not the address of a single host"
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        return f"has a port outside 1 to {MAX_PORT}"
    return ""


def _ip_address(host):
    if host.startswith("[") and host.endswith("]"):
        return ipaddress.IPv6Address(host[1:-1])
    return ipaddress.IPv4Address(host)


def fault(source, key, reason, remedy):
    """Return an error result whose text names file, key, reason and remedy."""
    where = f"{source}: {key}" if key else f"{source}"
    return expression.Error(errors.SettingsError(f"{where} {reason}.", remedy=remedy))


def _key_and_reason(message):
    """Split the text of a msgspec validation error into key and reason."""
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
    return path, f"is invalid: {reason}"


def _value_text(raw, path):
    value = _lookup(raw, path)
    if value is None or isinstance(value, dict | list):
        return ""
    shown = (
        HIDDEN_VALUE
        if path.startswith(SECRET_SECTION)
        else repr(value)[:MAX_VALUE_CHARACTERS]
    )
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
