"""Decoder of backend servers' registrations in the platform's store."""

from typing import Literal

import expression
import msgspec

from teaselwall import errors, serverregistry, settings


class _Entry(msgspec.Struct, rename="camel"):
    """Fields of a registration record that are used here; others are ignored."""

    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    sequence: int
    # Version of the server's software.
    version: str = ""
    # Start of the process in milliseconds of the server's own clock.
    born: int = 0


class UnreadableEntry(errors.Error):
    """A registration record that can't be decoded or has no usable address."""

    title = "Unreadable entry"
    remedy = "Find the writer of this key in the platform's store and correct it."


def read(key, value):
    """Decode one registration record.

    Returns
    -------
    expression.Result
        ``serverregistry.Registration``.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        return expression.Error(UnreadableEntry(f"Entry {key!r}: {error}."))
    reason = settings.address_fault(entry.address)
    if reason:
        detail = f"Entry {key!r}: address {entry.address!r} {reason}."
        return expression.Error(UnreadableEntry(detail))
    return expression.Ok(
        serverregistry.Registration(
            id=key,
            started_ms=entry.born,
            address=entry.address,
            pool=entry.service,
            data_centre=entry.zone,
            leaving=entry.state == "draining",
            cold_ms=entry.cold_remaining_ms,
            sequence=entry.sequence,
            software=entry.version,
        )
    )
