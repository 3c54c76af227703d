"""What servers have named as their limits of requests a second, on all entry hosts.

Hosts tell each other of each change that one of them reads in a reply.
"""

import collections
import logging
import math

from teaselwall import events
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# Servers whose limits are kept, ended ones included.
MAX_LIMITS = 4096
# Limits named in each exchange of views, newest first, and for how long after a change.
MAX_NOTICES = 32
TOLD_MS = 5000.0
NO_LIMIT = -1.0
# Below the urgency of every request: nothing was refused.
MOST_URGENT = -100


class Limit:
    """What is known of one server's limit, and this host's permits.

    Attributes
    ----------
    server : str
        Incarnation.
    version : int
        Rises with each change that a host reads in a reply.
    rate_per_s : float
        ``NO_LIMIT`` once the server names none any more.
    known_ms : float
        Time on the clock at which this host learned of it.
    permits_ms : collections.deque of float
        Times until which this host's permits may be used.
    refused_until_ms : float
        Time on the clock until which its issuer is not asked again for requests that
        are no more urgent than ``refused_urgency``.
    refused_urgency : int
    expected_ms : float
        Time on the clock at which the issuer expects to have a permit.
    """

    __slots__ = (
        "server",
        "version",
        "rate_per_s",
        "known_ms",
        "permits_ms",
        "refused_until_ms",
        "refused_urgency",
        "expected_ms",
    )

    def __init__(self, server):
        self.server = server
        self.version = 0
        self.rate_per_s = NO_LIMIT
        self.known_ms = -math.inf
        self.permits_ms = collections.deque()
        self.refused_until_ms = -math.inf
        self.refused_urgency = MOST_URGENT
        self.expected_ms = -math.inf

    @property
    def is_named(self):
        """Return whether the server names a limit."""
        return self.rate_per_s != NO_LIMIT

    def has_permit(self, now_ms):
        """Return whether a permit may be used now; drop those that have lapsed."""
        while self.permits_ms and self.permits_ms[0] <= now_ms:
            self.permits_ms.popleft()
        return bool(self.permits_ms)

    def notice(self):
        """Return what other hosts are told of it."""
        return messages.ServerLimit(
            server=self.server, version=self.version, rate_per_s=self.rate_per_s
        )


class NamedLimits:
    """The limits that servers name, as this host knows them.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    by_server : collections.OrderedDict of str to Limit
        By incarnation, the one that changed last at the end. A limit that has ended is
        kept, so that late news of it are known as such.
    """

    __slots__ = ("clock", "by_server")

    def __init__(self, clock):
        self.clock = clock
        self.by_server = collections.OrderedDict()

    def find(self, server):
        """Return the ``Limit`` that an incarnation names, or None."""
        limit = self.by_server.get(server)
        return limit if limit is not None and limit.is_named else None

    def record(self, server, limit_per_s, sent_ms):
        """Record what a server named in a reply; return its ``Limit`` if it changed.

        Parameters
        ----------
        server : str
            Incarnation.
        limit_per_s, sent_ms
            See ``requestlimits.Limits.record``.

        Returns
        -------
        Limit or None
        """
        named = self.find(server)
        limit = self.by_server.get(server) or Limit(server)
        if limit_per_s is None:
            if named is None or sent_ms < limit.known_ms:
                return None
            limit_per_s = NO_LIMIT
        elif math.isnan(limit_per_s):
            self._log("server_limit_unreadable", limit)
            return None
        elif named is not None and named.rate_per_s == limit_per_s:
            return None
        self._change(limit, limit.version + 1, limit_per_s, "reply")
        return limit

    def take_over(self, notice):
        """Take over what another host knows, if it is newer; return the ``Limit``.

        Of two changes that hosts read at the same time, the stricter one holds.

        Parameters
        ----------
        notice : messages.ServerLimit
        """
        limit = self.by_server.get(notice.server) or Limit(notice.server)
        rate_per_s = notice.rate_per_s if notice.rate_per_s >= 0 else NO_LIMIT
        is_newer = notice.version > limit.version
        if is_newer or (
            notice.version == limit.version and _is_stricter(rate_per_s, limit)
        ):
            self._change(limit, notice.version, rate_per_s, "host")
        return limit

    def _change(self, limit, version, rate_per_s, source):
        limit.version = version
        limit.rate_per_s = rate_per_s
        limit.known_ms = self.clock.now_ms()
        self.by_server[limit.server] = limit
        self.by_server.move_to_end(limit.server)
        while len(self.by_server) > MAX_LIMITS:
            self.by_server.popitem(last=False)
        self._log("server_limit", limit, source=source)

    def _log(self, event, limit, **fields):
        events.log(
            logger,
            logging.INFO,
            event,
            id=limit.server,
            per_s=limit.rate_per_s if limit.is_named else None,
            version=limit.version,
            **fields,
        )

    def notices(self):
        """Return the limits that changed last, for exchanges with other hosts."""
        since_ms = self.clock.now_ms() - TOLD_MS
        newest = list(self.by_server.values())[-MAX_NOTICES:]
        return [limit.notice() for limit in newest if limit.known_ms > since_ms]


def _is_stricter(rate_per_s, limit):
    if rate_per_s == NO_LIMIT:
        return False
    return not limit.is_named or rate_per_s < limit.rate_per_s
