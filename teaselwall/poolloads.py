"""What the servers of a pool probably have to do now, by reports of various ages."""

import math

# Places of a server in a pool of which neither reports nor the configuration tell any.
DEFAULT_N_PLACES = 8
# A report is at most this many times as old as a request lasts, to a host without any.
MAX_AGES = 100.0


class PoolLoads:
    """Expected loads of some servers of a pool at this moment.

    All are derived from the newest report of each server. Requests of this host are
    known; those of others end, and as many new ones arrive, in the mean time for which
    a request takes up a place. Of the newest span, the mean age of the reports, only
    the ends are counted: where the arrivals went is left to ``evenload``.

    Parameters
    ----------
    servers : list of servers.Server
        Not empty.
    n_places : int
        Places of a server without reports; 0 if unknown.
    occupancy_ms : float
        Mean time for which a request takes up a place.

    Attributes
    ----------
    utilisation : float
        Mean share of the places in use.
    age_ms : float
        Mean age of the reports; those older than a request lasts count as that old.
    """

    __slots__ = (
        "servers",
        "occupancy_ms",
        "ages_ms",
        "n_places",
        "utilisation",
        "age_ms",
    )

    def __init__(self, servers, n_places, occupancy_ms):
        self.servers = servers
        self.occupancy_ms = max(1.0, occupancy_ms)
        oldest_ms = MAX_AGES * self.occupancy_ms
        self.ages_ms = [min(oldest_ms, s.report_age_ms()) for s in servers]
        reported = [s.report.capacity for s in servers if s.report is not None]
        unknown = n_places or (max(reported) if reported else DEFAULT_N_PLACES)
        self.n_places = [
            max(1, s.report.capacity if s.report is not None else unknown)
            for s in servers
        ]
        self.utilisation = self._utilisation()
        n_servers = len(servers)
        total_ms = sum(min(age, self.occupancy_ms) for age in self.ages_ms)
        self.age_ms = total_ms / n_servers

    def expected(self):
        """Return the expected number of requests in progress at each server.

        Requests that other hosts have sent in the last ``age_ms`` are left out.
        """
        loads = []
        for server, age_ms, n_places in zip(
            self.servers, self.ages_ms, self.n_places, strict=True
        ):
            usual = self.utilisation * n_places
            others = usual
            if server.report is not None:
                older_ms = max(0.0, age_ms - self.age_ms)
                kept = math.exp(-older_ms / self.occupancy_ms)
                others = usual + (server.n_others_in_flight - usual) * kept
            ended = math.exp(-min(age_ms, self.age_ms) / self.occupancy_ms)
            loads.append(server.in_flight + max(0.0, others) * ended)
        return loads

    def n_changed(self):
        """Return how many requests have begun or ended at each since its report."""
        changed = []
        for age_ms, n_places in zip(self.ages_ms, self.n_places, strict=True):
            n_ends = min(age_ms, self.occupancy_ms) / self.occupancy_ms
            changed.append(2 * self.utilisation * n_places * n_ends)
        return changed

    def n_unseen(self, n_hosts):
        """Return how many requests other hosts have sent in the last ``age_ms``.

        As many arrive as end: those in progress, in the time that one lasts.

        Parameters
        ----------
        n_hosts : int
            Entry hosts, this one included.
        """
        n_in_progress = self.utilisation * sum(self.n_places)
        others_share = max(0, n_hosts - 1) / max(1, n_hosts)
        return n_in_progress * others_share * self.age_ms / self.occupancy_ms

    def _utilisation(self):
        """Return the mean share of places in use; newer reports weigh more."""
        n_used = n_all = 0.0
        for server, age_ms, n_places in zip(
            self.servers, self.ages_ms, self.n_places, strict=True
        ):
            if server.report is None:
                continue
            weight = 1 / (1 + age_ms / self.occupancy_ms)
            n_used += weight * server.report.in_flight
            n_all += weight * n_places
        return n_used / n_all if n_all else 0.0
