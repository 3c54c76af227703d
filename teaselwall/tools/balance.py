"""A pool of servers before many hosts that choose by old reports, without a network.

Time passes from event to event. Each server runs some requests at once, queues as many
again and turns the rest away. Its reports reach all hosts at once, in turn with those
of the others.
"""

import collections
import heapq
import random
import statistics

from teaselwall import enginechoices, metrics, rings, routes, servers, timedchoices
from teaselwall.generated import messages
from teaselwall.protocols import Load, PromptPart
from teaselwall.tests import fakes

SPEEDS = (0.7, 0.7, 1.7)
# Times on a server of usual speed: of a prompt token, and of writing an answer.
TOKEN_MS = 0.04
WRITE_MS = 300.0
N_PLACES = 16
SHARED_TOKENS = 5000
OWN_TOKENS = 2500
SERVICE_MS = TOKEN_MS * OWN_TOKENS + WRITE_MS
POOL = routes.Pool("pool", 0, 0.0, 0.0, None, True, N_PLACES)
POLICIES = ("even", "before", "random", "ideal")


class Trial:
    """One run of a pool.

    Parameters
    ----------
    policy : str
        One of ``POLICIES``: this system's; this system's for servers that don't say how
        slow they are; uniformly at random; the shortest wait, known at once.
    n_hosts, n_servers : int
    age_ms : float
        Mean age of the reports.
    utilisation : float
        Work that arrives, as a share of what all servers can do.
    missing, frozen, wrong : float
        Shares of the servers that report nothing; that they are empty, always; and a
        slowness that is five times too high.
    n_sessions : int
        Sessions whose requests share most of their prompts; 0 if none do.
    bursts : bool
        Whether twice as many requests arrive for a quarter of each second, and less in
        the rest.
    churn : bool
        Whether a third of the hosts is replaced by new ones each second.
    reset_ms : float or None
        Time at which a tenth of the servers lose all requests and come back empty.

    Attributes
    ----------
    n_requests, n_unlucky, n_rejected : int
        All requests; those that waited or were turned away while another server had a
        free place; those turned away.
    free_beside : list of float
        Free places on average, as each of the unlucky ones arrived.
    n_shared_read : int
        Requests whose shared part of the prompt was read at their server.
    n_reports : int
        Reports made, by themselves or with an answer.
    """

    def __init__(
        self,
        policy,
        n_hosts=60,
        n_servers=70,
        age_ms=200.0,
        utilisation=0.7,
        seed=1,
        missing=0.0,
        frozen=0.0,
        wrong=0.0,
        n_sessions=0,
        bursts=False,
        churn=False,
        reset_ms=None,
    ):
        self.policy = policy
        self.age_ms = age_ms
        self.n_sessions = n_sessions
        self.bursts = bursts
        self.churn = churn
        self.reset_ms = reset_ms
        self.random = random.Random(seed)
        self.clock = fakes.SteppedClock()
        self.events = []
        self.n_events = 0
        self.running = [0] * n_servers
        self.queues = [collections.deque() for _ in range(n_servers)]
        self.lives = [0] * n_servers
        self.arrivals = [0] * n_servers
        self.n_free = n_servers * N_PLACES
        self.speeds = [SPEEDS[i % len(SPEEDS)] for i in range(n_servers)]
        draws = [self.random.random() for _ in range(n_servers)]
        self.missing = {i for i, d in enumerate(draws) if d < missing}
        self.frozen = {i for i, d in enumerate(draws) if 0 < 1 - d < frozen}
        self.wrong = {i for i, d in enumerate(draws) if 0.5 < d < 0.5 + wrong}
        self.published = [None] * n_servers
        self.cached = [set() for _ in range(n_servers)]
        self.hosts = [Host(self) for _ in range(n_hosts)]
        per_ms = N_PLACES * sum(1 / speed for speed in self.speeds) / SERVICE_MS
        self.per_ms = utilisation * per_ms
        self.n_requests = self.n_unlucky = self.n_rejected = self.n_reports = 0
        self.n_shared_read = 0
        self.free_beside = []

    def run(self, for_ms):
        """Run for some time and return this trial."""
        for number in range(len(self.running)):
            self.at(self.random.random() * 2 * self.age_ms, self._publish, number)
        self.at(0.0, self._arrive)
        if self.churn:
            self.at(1000.0, self._replace_hosts)
        if self.reset_ms is not None:
            self.at(self.reset_ms, self._reset)
        while self.events[0][0] < for_ms:
            self.clock.at_ms, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)
        return self

    def at(self, delay_ms, act, *arguments):
        """Act after some time."""
        self.n_events += 1
        event = (self.clock.at_ms + delay_ms, self.n_events, act, arguments)
        heapq.heappush(self.events, event)

    def unlucky_percent(self):
        """Return how many waited or were turned away beside free places, in percent."""
        return 100 * self.n_unlucky / self.n_requests

    def mean_free_beside(self):
        """Return the free places on average beside a request that waited."""
        return statistics.mean(self.free_beside) if self.free_beside else 0.0

    def busiest_ratio(self):
        """Return the arrivals at the busiest tenth over the mean, by speed."""
        by_rate = [n * s for n, s in zip(self.arrivals, self.speeds, strict=True)]
        n_busiest = max(1, len(by_rate) // 10)
        busiest = sorted(by_rate)[-n_busiest:]
        return statistics.mean(busiest) / statistics.mean(by_rate)

    def load(self, number):
        """Return the load that a server states."""
        self.n_reports += 1
        slowness = 5.0 if number in self.wrong else 1.0
        stated = slowness if self.policy == "even" else None
        if number in self.frozen:
            return Load(0, 0, N_PLACES, stated)
        n_waiting = len(self.queues[number])
        return Load(self.running[number], n_waiting, N_PLACES, stated)

    def _publish(self, number):
        if number not in self.missing:
            self.published[number] = (self.clock.at_ms, self.load(number))
        self.at(2 * self.age_ms, self._publish, number)

    def _arrive(self):
        burst = 2.0 if self.clock.at_ms % 1000 < 250 else 2 / 3
        per_ms = self.per_ms * (burst if self.bursts else 1.0)
        self.at(self.random.expovariate(per_ms), self._arrive)
        host = self.random.choice(self.hosts)
        parts = (PromptPart(f"{self.n_events}", OWN_TOKENS),)
        if self.n_sessions:
            session = f"s{self.random.randrange(self.n_sessions)}"
            parts = (PromptPart(session, SHARED_TOKENS), *parts)
        number = host.choose(parts)
        self.n_requests += 1
        self.arrivals[number] += 1
        life = self.lives[number]
        if self.running[number] < N_PLACES:
            self._start(host, number, parts, self.clock.at_ms, life)
            return
        if self.n_free:
            self.n_unlucky += 1
            self.free_beside.append(self.n_free / (len(self.running) - 1))
        if len(self.queues[number]) < N_PLACES:
            self.queues[number].append((host, number, parts, self.clock.at_ms, life))
        else:
            self.n_rejected += 1
            host.end(number, parts, None)

    def _start(self, host, number, parts, sent_ms, life):
        self.running[number] += 1
        self.n_free -= 1
        n_read = sum(p.n_tokens for p in parts if p.id not in self.cached[number])
        if len(parts) > 1 and parts[0].id not in self.cached[number]:
            self.n_shared_read += 1
            self.cached[number].add(parts[0].id)
        read_ms = TOKEN_MS * n_read * self.speeds[number]
        write_ms = WRITE_MS * self.speeds[number] * self.random.expovariate(1.0)
        first_ms = self.clock.at_ms - sent_ms + read_ms
        self.at(
            read_ms + write_ms, self._end, host, number, parts, sent_ms, first_ms, life
        )

    def _end(self, host, number, parts, sent_ms, first_ms, life):
        if life != self.lives[number]:
            return
        self.running[number] -= 1
        self.n_free += 1
        host.end(number, parts, (sent_ms, first_ms))
        if self.queues[number]:
            self._start(*self.queues[number].popleft())

    def _reset(self):
        for number in range(0, len(self.running), 10):
            self.lives[number] += 1
            self.n_free += self.running[number]
            self.running[number] = 0
            self.queues[number].clear()
            for host in self.hosts:
                host.servers.pop(number, None)

    def _replace_hosts(self):
        n_replaced = len(self.hosts) // 3
        self.hosts = self.hosts[n_replaced:] + [Host(self) for _ in range(n_replaced)]
        self.at(1000.0, self._replace_hosts)


class Host:
    """One entry host; it knows a server once it has considered it."""

    def __init__(self, trial):
        self.trial = trial
        self.servers = {}
        self.engines = enginechoices.EngineChoices()
        self.timed = timedchoices.TimedChoices(
            trial.clock,
            "",
            lambda: len(trial.hosts),
            metrics.Metrics(),
            trial.random.random,
        )

    def choose(self, parts):
        """Choose a server for a prompt, count the request there, return its number."""
        trial = self.trial
        n_servers = len(trial.running)
        window = range(n_servers)
        if n_servers > rings.WINDOW_SIZE:
            start = enginechoices.subset_token_of(parts) % n_servers
            window = [(start + i) % n_servers for i in range(rings.WINDOW_SIZE)]
        if trial.policy == "random":
            return trial.random.choice(window)
        if trial.policy == "ideal":
            return min(window, key=self._true_wait)
        known = [self._server(number) for number in window]
        if trial.policy == "before":
            server = self.engines.choose(parts, known)
        else:
            server = self.timed.choose(POOL, known, self.engines.work(parts, known))
        self.engines.record_sent(server, parts)
        server.in_flight += 1
        server.n_sent += 1
        return int(server.address)

    def end(self, number, parts, times):
        """Take the end of a request, with its times unless it was turned away."""
        server = self.servers.get(number)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        if number not in self.trial.missing:
            server.record_load(self.trial.load(number))
        if times is not None and self.trial.policy == "even":
            sent_ms, first_ms = times
            n_read = sum(part.n_tokens for part in parts)
            if self.trial.n_sessions:
                n_read = parts[-1].n_tokens
            sent = timedchoices.Sent(server, n_read, server.load(), sent_ms)
            now_ms = self.trial.clock.at_ms
            self.timed.record_answer(POOL, sent, sent_ms + first_ms, now_ms)

    def _true_wait(self, number):
        trial = self.trial
        n_ahead = trial.running[number] + len(trial.queues[number])
        return (n_ahead >= N_PLACES, n_ahead * trial.speeds[number])

    def _server(self, number):
        """Return what this host knows of a server, with its newest report."""
        server = self.servers.get(number)
        if server is None:
            place = f"{self.trial.speeds[number]}-{number % 2}"
            entry = messages.HostEntry(str(number), "pool", place, str(number), "live")
            server = self.servers[number] = servers.Server(entry, self.trial.clock)
        published = self.trial.published[number]
        if published is not None and published[0] > server.reported_ms:
            now_ms, self.trial.clock.at_ms = self.trial.clock.at_ms, published[0]
            server.record_load(published[1])
            self.trial.clock.at_ms = now_ms
        return server
