"""Permits to send work to cold servers: a lease on one of a server's slots.

The holder of a data centre's warm-up duty counts them in a ``PermitLedger``; an entry
host that asked for some keeps them in a ``PermitStock``. A permit ends, on the asker's
clock, a span after it asked; on the holder's clock, the same span after it granted,
which is later. One call at a time uses a permit, and only a call that must be over
before the permit ends.
"""

import itertools

from teaselwall.generated import messages

ABORT_GRACE_MS = 500


def key_of(item):
    """Return the address and incarnation of a server or permit."""
    return (item.address, item.incarnation)


class PermitLedger:
    """Permits granted by the holder of the duty, by server address.

    Those of an earlier incarnation count too: what was meant for it reaches its
    successor at the same address.

    Parameters
    ----------
    clock : clock.Clock
    """

    __slots__ = ("clock", "permit_numbers", "granted")

    def __init__(self, clock):
        self.clock = clock
        self.permit_numbers = itertools.count(1)
        self.granted = {}

    def n_open(self, server):
        """Return how many slots of a server may be in use."""
        permits = self.granted.get(server.address)
        if not permits:
            return 0
        now_ms = self.clock.now_ms()
        for name in [name for name, end_ms in permits.items() if end_ms <= now_ms]:
            del permits[name]
        if not permits:
            del self.granted[server.address]
        return len(permits)

    def grant(self, server, fencing, span_ms):
        """Open a slot; the caller has checked that one is free.

        Parameters
        ----------
        server : servers.Server
        fencing : int
            Of the duty; tells the permits of two holders apart.
        span_ms : float
            The slot stays taken for longer than that by the time a server needs to
            notice that a call was given up.

        Returns
        -------
        messages.Permit
        """
        permit = messages.Permit(
            address=server.address,
            incarnation=server.incarnation,
            fencing=fencing,
            number=next(self.permit_numbers),
        )
        permits = self.granted.setdefault(server.address, {})
        permits[permit.fencing, permit.number] = (
            self.clock.now_ms() + span_ms + ABORT_GRACE_MS
        )
        return permit

    def close(self, permit):
        """Free the slot of a permit; one that is not open is passed over."""
        permits = self.granted.get(permit.address, {})
        permits.pop((permit.fencing, permit.number), None)

    def sweep(self):
        """Drop what has ended."""
        now_ms = self.clock.now_ms()
        for address, permits in list(self.granted.items()):
            if all(end_ms <= now_ms for end_ms in permits.values()):
                del self.granted[address]

    def remaining_ms(self):
        """Return the time until the last permit has ended."""
        ends = [
            end_ms for permits in self.granted.values() for end_ms in permits.values()
        ]
        return max(0.0, max(ends, default=0.0) - self.clock.now_ms())


class HeldPermit:
    """A permit that this host got.

    Parameters
    ----------
    permit : messages.Permit
    data_centre : str
    end_ms : float
        On this host's clock; no call may last longer.

    Attributes
    ----------
    idle_ms : float
        Since when no call uses it.
    """

    __slots__ = ("permit", "data_centre", "end_ms", "idle_since_ms")

    def __init__(self, permit, data_centre, end_ms):
        self.permit = permit
        self.data_centre = data_centre
        self.end_ms = end_ms
        self.idle_since_ms = 0.0


class PermitStock:
    """Permits that this host got from holders.

    Parameters
    ----------
    clock : clock.Clock
    """

    __slots__ = ("clock", "idle")

    def __init__(self, clock):
        self.clock = clock
        self.idle = {}

    def add(self, held):
        """Keep a permit that no call uses."""
        held.idle_since_ms = self.clock.now_ms()
        self.idle.setdefault(key_of(held.permit), []).append(held)

    def has(self, server, call_ms=0.0):
        """Return whether a call of a server that may last so long has a permit."""
        end_ms = self.clock.now_ms() + call_ms
        return any(held.end_ms > end_ms for held in self.idle.get(key_of(server), ()))

    def take(self, server, call_ms):
        """Return a permit for a call, or None; the call must end in time."""
        end_ms = self.clock.now_ms() + call_ms
        permits = self.idle.get(key_of(server), [])
        for held in permits:
            if held.end_ms > end_ms:
                permits.remove(held)
                return held
        return None

    def take_unused(self, idle_since_ms):
        """Remove and return the permits that no call has used for a time."""
        before_ms = self.clock.now_ms() - idle_since_ms
        unused = []
        for key, permits in list(self.idle.items()):
            unused.extend(held for held in permits if held.idle_since_ms <= before_ms)
            self.idle[key] = [
                held for held in permits if held.idle_since_ms > before_ms
            ]
            if not self.idle[key]:
                del self.idle[key]
        return unused
