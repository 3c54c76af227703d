"""Whether backend servers share their machines with other work."""

import logging

from teaselwall import events

logger = logging.getLogger(__name__)

REFRESH_MS = 250.0


class SharedMachines:
    """Finds out from what servers say of themselves whether their machines are shared.

    Parameters
    ----------
    clock : clock.Clock
    fleet : fleet.Fleet
    share_room : str
        ``auto``, or ``on`` or ``off`` whatever the servers say; see the settings.

    Attributes
    ----------
    is_found : bool
        Whether a server says how slow its machine is, at ``refreshed_ms`` on the clock.
    refreshed_ms : float
    """

    __slots__ = ("clock", "fleet", "share_room", "is_found", "refreshed_ms")

    def __init__(self, clock, fleet, share_room="auto"):
        self.clock = clock
        self.fleet = fleet
        self.share_room = share_room
        self.is_found = False
        self.refreshed_ms = float("-inf")

    def found(self):
        """Return whether room is to be shared."""
        if self.share_room != "auto":
            return self.share_room == "on"
        now_ms = self.clock.now_ms()
        if now_ms - self.refreshed_ms >= REFRESH_MS:
            self.refreshed_ms = now_ms
            self._refresh()
        return self.is_found

    def _refresh(self):
        server = next(filter(_states_slowness, self.fleet.servers_in_use()), None)
        if self.is_found == (server is not None):
            return
        self.is_found = server is not None
        events.log(
            logger,
            logging.INFO,
            "shared_machines",
            found=self.is_found,
            server=server.address if server is not None else "",
            pool=server.pool if server is not None else "",
            age_ms=round(server.slowness.age_ms()) if server is not None else None,
        )


def _states_slowness(server):
    return server.slowness.is_stated
