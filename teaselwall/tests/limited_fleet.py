"""Entry hosts before engines that name limits, and what the engines got."""

import trio

from teaselwall.tests import crashing_engines, crashing_fleet, platform_entry

# By the users' rules, from ``CONTACT_S`` after a server named its limit, it gets in any
# ``WINDOW_S`` at most ``TOLERANCE`` times what that allows, and ``SLACK`` requests.
CONTACT_S = 3.0
WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK = 5
N_SESSIONS = 23


class LimitedFleet:
    """Entry hosts before engines of which a test limits some.

    Attributes
    ----------
    engines : crashing_engines.CrashingEngines
    hosts : list of entry.Entry
    statuses : list of (float, int or None, float)
        Time, status and Retry-After in s of each answer.
    """

    def __init__(self, nursery, engines, hosts):
        self.nursery = nursery
        self.engines = engines
        self.hosts = hosts
        self.applications = [platform_entry.gateway_of(host) for host in hosts]
        self.statuses = []
        self.n_requests = 0

    def forget(self, host):
        """Send no more requests or datagrams to a host, nor take any from it."""
        host.gossip.socket.hosts.pop(host.membership.me.address)
        host.gossip.socket = crashing_fleet.Network([])
        self.hosts.remove(host)
        self.applications = [platform_entry.gateway_of(host) for host in self.hosts]

    def engine(self, number):
        return self.engines.engines[f"10.0.2.{number}:80"]

    def limit(self, number, text):
        """Have an engine name a limit in its replies from now on, or none any more."""
        self.engine(number).limit = text

    async def send_for(self, length_s, interval_s, path="/stream/1"):
        """Send requests to all hosts in turn."""
        until_s = trio.current_time() + length_s
        while trio.current_time() < until_s:
            for host in self.hosts:
                host.orders.current_as_of_ms = host.clock.now_ms()
            self.n_requests += 1
            number = self.n_requests
            application = self.applications[number % len(self.applications)]
            self.nursery.start_soon(self.send, application, path, number)
            await trio.sleep(interval_s)

    async def send(self, application, path, number):
        caller = platform_entry.Caller(
            path,
            Request_Id=f"r{number}",
            Prompt_Prefix=f"a{number % N_SESSIONS}:900,{number:x}:50",
        )
        with platform_entry.cut_answers_allowed():
            await caller.send_request(application)
        retry_after_s = float(caller.headers.get(b"retry-after", b"0"))
        self.statuses.append((trio.current_time(), caller.status, retry_after_s))
        return caller

    def n_most(self, number, from_s):
        """Return the most requests that an engine got in any window from a time on."""
        times_s = [at for at in self.engine(number).arrivals_s if at >= from_s]
        return max((n_within(times_s, at) for at in times_s), default=0)

    def served_share(self, from_s):
        """Return the share of the requests answered from a time on that are served."""
        statuses = [status for at, status, _ in self.statuses if at >= from_s]
        return statuses.count(200) / max(1, len(statuses))


def n_within(times_s, from_s):
    return sum(from_s <= at < from_s + WINDOW_S for at in times_s)


def n_allowed(per_s):
    """Return how many requests a limited server may get in a window."""
    return TOLERANCE * per_s * WINDOW_S + SLACK


async def make_fleet(nursery, n_hosts, n_engines):
    """Return a ``LimitedFleet`` whose hosts know one another."""
    addresses = [f"10.0.2.{n}:80" for n in range(1, n_engines + 1)]
    engines = crashing_engines.CrashingEngines(
        nursery, addresses, lambda headers: False
    )
    hosts = await crashing_fleet.make_hosts(nursery, engines, n_hosts)
    return LimitedFleet(nursery, engines, hosts)
