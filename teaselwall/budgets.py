"""Retry budgets: how much extra load retries may put on a stage pool."""

MAX_TOKENS = 20.0
INITIAL_TOKENS = 10.0
TRICKLE_PER_S = 0.2
MS_PER_S = 1000
PERCENT = 100
RETRY_COST = 1.0
CONNECT_COST = 0.2
RESUME_COST = 0.1


class RetryBudget:
    """Tokens of one pool.

    Each success adds a share of a token, each retry takes its cost. A slow
    trickle lets a pool without traffic retry now and then.

    Parameters
    ----------
    clock : clock.Clock
    percent : float
        Retries allowed per hundred successes.
    """

    __slots__ = ("clock", "percent", "tokens", "filled_ms")

    def __init__(self, clock, percent):
        self.clock = clock
        self.percent = percent
        self.tokens = INITIAL_TOKENS if percent else 0.0
        self.filled_ms = clock.now_ms()

    def record_success(self):
        """Add the share that one success earns."""
        self._add(self.percent / PERCENT)

    def take(self, cost):
        """Take a retry's cost; return whether there was enough."""
        self._fill()
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def _fill(self):
        now_ms = self.clock.now_ms()
        elapsed_s = (now_ms - self.filled_ms) / MS_PER_S
        self.filled_ms = now_ms
        if self.percent:
            self._add(elapsed_s * TRICKLE_PER_S)

    def _add(self, amount):
        self.tokens = min(MAX_TOKENS, self.tokens + amount)


class RetryBudgets:
    """The budgets of all pools that this host sends to.

    Parameters
    ----------
    clock : clock.Clock
    percent : float
    """

    __slots__ = ("clock", "percent", "by_pool")

    def __init__(self, clock, percent):
        self.clock = clock
        self.percent = percent
        self.by_pool = {}

    def of(self, pool):
        """Return the budget of a pool."""
        budget = self.by_pool.get(pool)
        if budget is None:
            budget = RetryBudget(self.clock, self.percent)
            self.by_pool[pool] = budget
        return budget
