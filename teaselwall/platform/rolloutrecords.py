"""Orders and statuses of roll-outs in the platform's store."""

import expression
import msgspec

from teaselwall import errors, rolloutorders

# Prefix of the keys of orders and of statuses; the service's name follows.
PREFIX = "rollout/"
MS_PER_S = 1000.0
MAX_DURATION_S = 30 * 24 * 3600.0
# Hosts tell each other versions in datagrams.
MAX_TARGET_LENGTH = 256


class _Order(msgspec.Struct, rename="camel"):
    target: str
    duration_s: object = 0


class UnreadableOrder(errors.Error):
    """An order of a roll-out that can't be decoded."""

    title = "Unreadable order"
    remedy = "Write the order again; the last readable one of the service holds on."


def pool_of(key):
    """Return the pool that a key of the orders topic names, or None."""
    return key.removeprefix(PREFIX) if key.startswith(PREFIX) else None


def read(pool, value):
    """Decode an order.

    Returns
    -------
    expression.Result
        ``rolloutorders.Order``.
    """
    try:
        order = msgspec.json.decode(value, type=_Order)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        return expression.Error(UnreadableOrder(f"Service {pool!r}: {error}."))
    if not 0 < len(order.target) <= MAX_TARGET_LENGTH:
        detail = f"Service {pool!r}: the target has {len(order.target)} characters."
        return expression.Error(UnreadableOrder(detail))
    duration_ms = MS_PER_S * _duration_s(order.duration_s)
    return expression.Ok(rolloutorders.Order(pool, order.target, duration_ms))


def _duration_s(value):
    """Return a duration, 0 for what is not a positive number."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not value > 0:
        return 0.0
    return float(min(MAX_DURATION_S, value))


def status(plan):
    """Return the key and the value of a plan's status record."""
    value = {"service": plan.pool, "target": plan.target, "state": plan.state}
    return PREFIX + plan.pool, msgspec.json.encode(value)
