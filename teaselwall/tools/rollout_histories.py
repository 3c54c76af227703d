"""Random histories of roll-outs, repeatable by seed, played against the decider.

Callers, servers and hosts are drawn request by request. Hosts report their counts late
and hear of a new share late.
"""

import collections
import math
import random

from teaselwall import rolloutdecisions, rolloutevidence

TICK_MS = 50
STEP_TICKS = 5
N_HOSTS = 5
MAX_REPORT_LAG_TICKS = 10
MAX_HEARING_TICKS = 20
WRITE_MS = 100
FAILING, SLOW = "failing", "slow"
MOMENTS = ("at once", "later", "under load", "on one route")
TROUBLES = (
    "none",
    "burst",
    "cold servers",
    "undeclared cold servers",
    "slow old server",
    "slow target server",
    "failing target server",
    "crash of a target server",
    "bad caller",
    "bad service",
    "slow service",
    "silent hosts",
    "new leader",
    "store away",
    "late servers",
)
LIMITS = rolloutdecisions.Limits(0.1, 50, 5000.0)


class Case:
    """One roll-out to play.

    Parameters
    ----------
    seed : int
    kind : str or None
        ``FAILING``, ``SLOW`` or None for a good version.
    moment : str
        One of ``MOMENTS``.
    trouble : str
        One of ``TROUBLES``.
    """

    def __init__(self, seed, kind=None, moment="at once", trouble="none"):
        rng = self.rng = random.Random(f"{seed} {kind} {moment} {trouble}")
        self.kind, self.moment, self.trouble = kind, moment, trouble
        self.rate = math.exp(rng.uniform(math.log(5), math.log(2000)))
        self.duration_ms = math.exp(rng.uniform(math.log(6), math.log(120))) * 1000
        n_routes = rng.randint(1, 8)
        weights = [rng.paretovariate(0.8) for _ in range(n_routes)]
        self.weights = [weight / sum(weights) for weight in weights]
        if n_routes > 2:
            self.weights[-1] = 0.001
        self.medians = [math.exp(rng.uniform(3, 6.5)) for _ in range(n_routes)]
        self.sigma = rng.uniform(0.15, 0.7)
        self.n_old = rng.choice((2, 4, 9, 24, 56))
        self.n_target = self.n_old
        self.utilisation = rng.uniform(0.2, 0.6)
        self.portion = math.exp(rng.uniform(math.log(0.03), 0.0))
        self.factor = rng.uniform(2.0, 8.0)
        self.fault_ms = rng.uniform(0.1, 0.8) * self.duration_ms
        self.fault_route = rng.choices(range(n_routes), self.weights)[0]
        start_ms = rng.uniform(0.1, 0.8) * self.duration_ms
        length_ms = rng.uniform(0.03, 0.15) * self.duration_ms
        self.trouble_ms = (start_ms, start_ms + length_ms)
        self.trouble_size = rng.uniform(0.03, 0.3)
        self.trouble_factor = rng.uniform(1.5, 3.5)
        self.trouble_server = rng.randrange(self.n_target)

    def is_troubled(self, now_ms):
        """Return whether a trouble of limited length goes on."""
        return self.trouble_ms[0] <= now_ms < self.trouble_ms[1]

    def has_fault(self, now_ms, route, load):
        """Return whether the target, at a load of its servers, has its fault.

        Parameters
        ----------
        load : float
            Requests a server, in those of an old server before the roll-out.
        """
        if self.kind is None:
            return False
        return {
            "at once": True,
            "later": now_ms >= self.fault_ms,
            "under load": load >= 0.7,
            "on one route": route == self.fault_route,
        }[self.moment]

    def n_ready(self, now_ms):
        """Return the target's servers in service."""
        if self.trouble == "late servers" and now_ms < 0.3 * self.duration_ms:
            return 0
        crashed = self.trouble == "crash of a target server"
        return self.n_target - (crashed and now_ms >= self.trouble_ms[0] + 400)


class Result:
    """What became of a roll-out.

    Attributes
    ----------
    state : str
    end_ms : float
        Time of the final state since the order.
    reason : str
    n_requests, n_exposed : float
        Requests until the deadline, of all versions and of the target.
    n_bad : int
        Bad answers of a bad target when its requests ended.
    bad_ms : float or None
        Time of the first bad answer of a bad target.
    fiftieth_ms, last_sent_ms : float or None
        Time of its 50th bad answer, and of its last request before the deadline.
    nats : float
        Sum of the divergences of the answers received 1.5 s before the deadline or
        earlier: what a test that knows the fault could have had.
    """

    def __init__(self):
        self.state = rolloutdecisions.RUNNING
        self.end_ms = math.inf
        self.reason = ""
        self.n_requests = 0
        self.n_exposed = 0
        self.n_bad = 0
        self.bad_ms = None
        self.fiftieth_ms = None
        self.last_sent_ms = None
        self.nats = 0.0

    def keeps_exposure(self):
        """Return whether the rule EXPOSURE is kept."""
        allowed = LIMITS.expose_share * self.n_requests + LIMITS.expose_slack
        if self.n_exposed > allowed:
            return False
        if self.fiftieth_ms is None:
            return True
        return self.last_sent_ms <= self.fiftieth_ms + LIMITS.rollback_ms


class History:
    """Plays one case.

    Parameters
    ----------
    case : Case
    """

    def __init__(self, case):
        self.case = case
        self.rng = case.rng
        self.result = Result()
        self.decider = rolloutdecisions.Rollout("v2", case.duration_ms, LIMITS)
        self.hosts = [rolloutevidence.Evidence() for _ in range(N_HOSTS)]
        self.reported = {}
        self.due = collections.defaultdict(list)
        self.heard = (0.0, 0, 0)
        self.n_silent = 2 if case.trouble == "silent hosts" else 0
        self.change_tick = int(self.rng.uniform(0.2, 0.9) * case.duration_ms / TICK_MS)

    def play(self):
        """Play until the deadline and return the ``Result``."""
        for tick in range(int(self.case.duration_ms / TICK_MS) + 1):
            for act in self.due.pop(tick, ()):
                act()
            self._send(tick)
            for i in range(self.n_silent, N_HOSTS):
                if (tick + i) % STEP_TICKS == 0:
                    self._report(tick, i)
            if tick % STEP_TICKS == 0:
                self._step(tick)
        return self.result

    def _report(self, tick, i):
        rows = self.hosts[i].to_rows()
        lag = self.rng.randint(0, MAX_REPORT_LAG_TICKS - STEP_TICKS)

        def arrive():
            self.reported[i] = rolloutevidence.Evidence.from_rows(rows)

        self.due[tick + lag + 1].append(arrive)

    def _step(self, tick):
        case, now_ms = self.case, tick * TICK_MS
        if self.result.state != rolloutdecisions.RUNNING:
            return
        if case.trouble == "new leader" and tick >= self.change_tick:
            self.change_tick = math.inf
            self.decider = rolloutdecisions.Rollout(
                "v2",
                case.duration_ms,
                LIMITS,
                float(now_ms),
                self.decider.share,
                self.decider.n_servers,
            )
        situation = rolloutdecisions.Situation(
            n_target_ready=case.n_ready(now_ms),
            n_old_ready=case.n_old,
            n_target_cold=int(case.trouble == "cold servers" and now_ms < 2500),
            reporting_share=len(self.reported) / N_HOSTS,
            store_current=case.trouble != "store away" or not case.is_troubled(now_ms),
        )
        evidence = rolloutevidence.Evidence.summed(self.reported.values())
        step = self.decider.step(now_ms, evidence, situation)
        self.result.state, self.result.reason = step.state, step.reason
        if step.state != rolloutdecisions.RUNNING:
            self.result.end_ms = now_ms + WRITE_MS
        lag = self.rng.randint(1, 4) if self.rng.random() < 0.9 else MAX_HEARING_TICKS

        def hear():
            if tick >= self.heard[2]:
                self.heard = (step.share, step.n_servers, tick)

        self.due[tick + lag].append(hear)

    def _send(self, tick):
        case, rng, now_ms = self.case, self.rng, tick * TICK_MS
        swell = 1.0
        if case.trouble == "burst" and case.is_troubled(now_ms):
            swell = case.trouble_factor
        mean = case.rate * swell * TICK_MS / 1000
        n_sent = max(0, round(rng.gauss(mean, math.sqrt(mean)))) if mean > 20 else 0
        if mean <= 20:
            n_sent = sum(1 for _ in _arrivals(rng, mean))
        share, n_servers, _ = self.heard
        n_ready = case.n_ready(now_ms)
        n_used = min(n_servers or n_ready, n_ready)
        share = share if n_used else 0.0
        loads = (
            swell * (1.0 - share),
            swell * share * case.n_old / n_used if n_used else 0.0,
        )
        self.result.n_requests += n_sent
        for route in rng.choices(range(len(case.weights)), case.weights, k=n_sent):
            is_target = rng.random() < share
            server = rng.randrange(n_used if is_target else case.n_old)
            self._answer(tick, route, is_target, loads[is_target], server)

    def _answer(self, tick, route, is_target, load, server):
        case, rng, now_ms = self.case, self.rng, tick * TICK_MS
        latency_ms = rng.lognormvariate(math.log(case.medians[route]), case.sigma)
        used = case.utilisation * load
        latency_ms *= (1.0 - case.utilisation) / (1.0 - min(used, 0.95))
        is_bad = used > 0.95 and rng.random() < 0.2
        factor, portion = self._trouble(now_ms, is_target, server)
        latency_ms *= factor
        is_bad = is_bad or rng.random() < portion
        is_fault = False
        if is_target:
            self.result.n_exposed += 1
            self.result.last_sent_ms = now_ms
            if case.has_fault(now_ms, route, load):
                is_fault = rng.random() < case.portion
                if now_ms + latency_ms < case.duration_ms - 1500:
                    self.result.nats += _divergence(case)
        if is_fault and case.kind == FAILING:
            is_bad = True
        elif is_fault:
            latency_ms *= case.factor
        self._arrive(tick, route, is_target, is_bad, is_fault, latency_ms, server)

    def _trouble(self, now_ms, is_target, server):
        """Return the slowness and the portion of failures that a trouble causes."""
        case = self.case
        name, hit = case.trouble, server == case.trouble_server
        if name in ("cold servers", "undeclared cold servers") and is_target:
            until_ms = 2000 if name == "cold servers" else 1000
            return (3.0 if now_ms < until_ms else 1.0), 0.0
        if name == "slow old server" and not is_target and hit:
            return 4.0, 0.0
        if name == "slow target server" and is_target and hit:
            return 4.0, 0.0
        if name == "failing target server" and is_target and hit:
            return 1.0, case.trouble_size
        if name == "crash of a target server" and is_target and hit:
            is_down = 0 <= now_ms - case.trouble_ms[0] < 400
            return 1.0, float(is_down)
        if name == "bad caller":
            return 1.0, 0.1 * 0.5
        if name == "bad service":
            return 1.0, case.trouble_size
        if name == "slow service" and case.is_troubled(now_ms):
            return case.trouble_factor, 0.0
        return 1.0, 0.0

    def _arrive(self, tick, route, is_target, is_bad, is_fault, latency_ms, server):
        host = self.hosts[self.rng.randrange(N_HOSTS)]
        software = "v2" if is_target else "v1"
        told_server = str(server) if is_target and self.heard[1] else ""
        answer_tick = tick + 1 + int(latency_ms / TICK_MS)

        def arrive():
            host.record(software, str(route), is_bad, latency_ms, told_server)
            if is_fault:
                self._count_bad(answer_tick * TICK_MS)

        self.due[answer_tick].append(arrive)

    def _count_bad(self, now_ms):
        result = self.result
        result.n_bad += 1
        if result.n_bad == 1:
            result.bad_ms = now_ms
        if result.n_bad == 50:
            result.fiftieth_ms = now_ms


def _arrivals(rng, mean):
    at = rng.expovariate(1.0)
    while at < mean:
        yield at
        at += rng.expovariate(1.0)


def _divergence(case):
    """Return the nats by which one answer of a faulty target tells the fault."""
    p, n_total = case.portion, 0.0
    if case.kind == FAILING:
        base = case.trouble_size if case.trouble == "bad service" else 0.001
        bad = p + (1.0 - p) * base
        return _bernoulli(bad, base)
    shift = math.log(case.factor) / case.sigma
    for i in range(-40, 80):
        z = i / 8
        old = math.exp(-z * z / 2) / math.sqrt(2 * math.pi)
        slow = math.exp(-((z - shift) ** 2) / 2) / math.sqrt(2 * math.pi)
        new = (1.0 - p) * old + p * slow
        n_total += new * math.log(new / max(old, 1e-9)) / 8
    return n_total


def _bernoulli(p, q):
    nats = p * math.log(p / q)
    return nats + (1.0 - p) * math.log((1.0 - p) / (1.0 - q)) if p < 1.0 else nats


def cases(first_seed, n_good, n_bad):
    """Yield cases of all kinds, moments and troubles in turn.

    Parameters
    ----------
    first_seed, n_good, n_bad : int
    """
    for i in range(n_good):
        yield Case(first_seed + i, trouble=TROUBLES[i % len(TROUBLES)])
    for i in range(n_bad):
        kind = (FAILING, SLOW)[i % 2]
        yield Case(
            first_seed + i,
            kind,
            MOMENTS[i // 2 % len(MOMENTS)],
            TROUBLES[i // 8 % len(TROUBLES)],
        )
