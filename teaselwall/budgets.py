"""Retry budgets, which bound the load that retries add to a stage pool."""

MAX_TOKENS = 20.0
INITIAL_TOKENS = 10.0
# Tokens added per second without any success, so that an idle pool can still retry.
IDLE_REFILL_PER_S = 0.2
MS_PER_S = 1000
PERCENT = 100
# Costs in tokens. A failed connection puts no work on a server, and a resumed stream
# does not repeat its tokens, so both cost less than a full retry.
RETRY_COST = 1.0
CONNECT_FAILED_COST = 0.2
RESUME_COST = 0.1


class RetryBudget:
    """Token bucket that limits the retries to one stage pool.

    Each success adds a part of a token and each retry or hedge takes its cost. A
    slow refill over time lets a pool without traffic retry occasionally.

    Parameters
    ----------
    clock : clock.Clock
    percent : float
        Retries allowed per hundred successes; 0 allows none.

    Attributes
    ----------
    tokens : float
        Tokens available.
    refilled_ms : float
        When the refill over time was last added.
    """

    __slots__ = ("clock", "percent", "tokens", "refilled_ms")

    def __init__(self, clock, percent):
        self.clock = clock
        self.percent = percent
        self.tokens = INITIAL_TOKENS if percent else 0.0
        self.refilled_ms = clock.now_ms()

    def record_success(self):
        """Add the part of a token that one success earns."""
        self._add(self.percent / PERCENT)

    def covers(self, cost):
        """Return whether there are enough tokens for a retry."""
        self._refill()
        return self.tokens >= cost

    def take(self, cost):
        """Take the cost of a retry in tokens; return whether there were enough."""
        if not self.covers(cost):
            return False
        self.tokens -= cost
        return True

    def _refill(self):
        now_ms = self.clock.now_ms()
        elapsed_s = (now_ms - self.refilled_ms) / MS_PER_S
        self.refilled_ms = now_ms
        if self.percent:
            self._add(elapsed_s * IDLE_REFILL_PER_S)

    def _add(self, amount):
        self.tokens = min(MAX_TOKENS, self.tokens + amount)


class RetryBudgets:
    """Retry budgets of all pools that this host sends calls to.

    Parameters
    ----------
    clock : clock.Clock
    percent : float
        Retries allowed per hundred successes of a pool.
    """

    __slots__ = ("clock", "percent", "by_pool")

    def __init__(self, clock, percent):
        self.clock = clock
        self.percent = percent
        self.by_pool = {}

    def for_pool(self, pool):
        """Return the budget of a pool."""
        budget = self.by_pool.get(pool)
        if budget is None:
            budget = RetryBudget(self.clock, self.percent)
            self.by_pool[pool] = budget
        return budget
