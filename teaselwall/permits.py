"""Permits to send calls to cold servers: each is a lease on one slot of a server.

The holder of a data centre's warm-up duty counts the permits that it granted in a
``PermitLedger``. An entry host keeps the permits that it was granted in a
``PermitStock``. The requester's copy expires a fixed span after it sent the request,
by its own clock. The holder's copy expires at the earliest the same span after the
grant, by its own clock, which is later. A permit is used by one call at a time, and
only by a call whose time limit ends before the permit expires.
"""

import itertools

from teaselwall.generated import messages

# Time that a server needs to notice that a caller has given up its call.
ABORT_GRACE_MS = 500


def key_of(item):
    """Return the address and incarnation of a server or permit."""
    return (item.address, item.incarnation)


class PermitLedger:
    """Permits granted by the holder of the duty, by server address.

    Permits for an earlier incarnation count too, as a call sent to it may reach the
    next incarnation at the same address.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    granted : dict of str to dict
        Expiry times in ms of the open permits, by server address, then by fencing
        number and permit number.
    """

    __slots__ = ("clock", "permit_numbers", "granted")

    def __init__(self, clock):
        self.clock = clock
        self.permit_numbers = itertools.count(1)
        self.granted = {}

    def n_open(self, server):
        """Return how many slots of a server are taken by open permits."""
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
        """Grant a permit; the caller has checked that a slot is free.

        Parameters
        ----------
        server : servers.Server
        fencing : int
            Fencing number of the duty; tells the permits of two holders apart.
        span_ms : float
            Time from the grant for which the permit is valid. The slot stays taken for
            ``ABORT_GRACE_MS`` longer.

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
        """Free the slot of a permit; do nothing if the permit is not open."""
        permits = self.granted.get(permit.address, {})
        permits.pop((permit.fencing, permit.number), None)

    def sweep(self):
        """Drop servers whose permits have all expired."""
        now_ms = self.clock.now_ms()
        for address, permits in list(self.granted.items()):
            if all(end_ms <= now_ms for end_ms in permits.values()):
                del self.granted[address]

    def remaining_ms(self):
        """Return the time until the last open permit expires."""
        ends = [
            end_ms for permits in self.granted.values() for end_ms in permits.values()
        ]
        return max(0.0, max(ends, default=0.0) - self.clock.now_ms())


class HeldPermit:
    """A permit that another host granted to this host.

    Parameters
    ----------
    permit : messages.Permit
    data_centre : str
    end_ms : float
        Time on this host's clock by which calls that use the permit must be over.

    Attributes
    ----------
    idle_since_ms : float
        Time since which no call has used the permit.
    """

    __slots__ = ("permit", "data_centre", "end_ms", "idle_since_ms")

    def __init__(self, permit, data_centre, end_ms):
        self.permit = permit
        self.data_centre = data_centre
        self.end_ms = end_ms
        self.idle_since_ms = 0.0


class PermitStock:
    """Permits granted to this host that are not in use by a call.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    idle : dict of (str, str) to list of HeldPermit
        By address and incarnation of the server.
    """

    __slots__ = ("clock", "idle")

    def __init__(self, clock):
        self.clock = clock
        self.idle = {}

    def add(self, held):
        """Add a permit that no call uses."""
        held.idle_since_ms = self.clock.now_ms()
        self.idle.setdefault(key_of(held.permit), []).append(held)

    def has(self, server, call_ms=0.0):
        """Return whether a permit to a server outlasts a call of ``call_ms``."""
        end_ms = self.clock.now_ms() + call_ms
        return any(held.end_ms > end_ms for held in self.idle.get(key_of(server), ()))

    def take(self, server, call_ms):
        """Remove and return a permit that outlasts a call of ``call_ms``, or None."""
        end_ms = self.clock.now_ms() + call_ms
        permits = self.idle.get(key_of(server), [])
        for held in permits:
            if held.end_ms > end_ms:
                permits.remove(held)
                return held
        return None

    def take_unused(self, idle_ms):
        """Remove and return the permits that no call has used for ``idle_ms``."""
        before_ms = self.clock.now_ms() - idle_ms
        unused = []
        for key, permits in list(self.idle.items()):
            unused.extend(held for held in permits if held.idle_since_ms <= before_ms)
            self.idle[key] = [
                held for held in permits if held.idle_since_ms > before_ms
            ]
            if not self.idle[key]:
                del self.idle[key]
        return unused
