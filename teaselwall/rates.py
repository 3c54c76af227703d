"""Limits on an organisation's requests per second over all entry hosts."""

from teaselwall import clock, errors

# A full bucket holds the tokens that are added in this time.
BURST_MS = 1000.0
MAX_BUCKETS = 20000


class Bucket:
    """Token bucket of one service and organisation on this host.

    Parameters
    ----------
    tokens : float
        Requests that may be sent at once.
    updated_ms : float
        When tokens were last added.
    """

    __slots__ = ("tokens", "updated_ms")

    def __init__(self, tokens, updated_ms):
        self.tokens = tokens
        self.updated_ms = updated_ms


class RateLimits:
    """Token buckets with this host's part of each organisation's limit.

    Each entry host allows the limit divided by the number of entry hosts, so the
    total keeps to the limit without communication. While the hosts' counts of entry
    hosts differ from the true number, the total deviates in the same proportion.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    max_buckets : int
        Maximum number of buckets. Above it, the least recently used bucket is
        dropped.
    """

    __slots__ = ("clock", "membership", "max_buckets", "buckets")

    def __init__(self, clock, membership, max_buckets=MAX_BUCKETS):
        self.clock = clock
        self.membership = membership
        self.max_buckets = max_buckets
        self.buckets = {}

    def check(self, service, organisation):
        """Take a token for a request, or return the error that refuses it.

        Parameters
        ----------
        service : str
        organisation : generated.service.Organisation

        Returns
        -------
        errors.Overloaded or None
        """
        if not organisation.limit_per_s:
            return None
        per_ms = organisation.limit_per_s / clock.MS_PER_S / self._n_hosts()
        bucket = self._bucket((service, organisation.name), per_ms)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return None
        detail = (
            f"{organisation.name} exceeds its limit of "
            f"{organisation.limit_per_s} requests a second for {service}."
        )
        wait_ms = (1 - bucket.tokens) / per_ms
        return errors.Overloaded(detail, retry_after_ms=wait_ms)

    def _n_hosts(self):
        return max(1, self.membership.n_hosts())

    def _bucket(self, key, per_ms):
        now_ms = self.clock.now_ms()
        max_tokens = max(1.0, per_ms * BURST_MS)
        bucket = self.buckets.pop(key, None) or Bucket(max_tokens, now_ms)
        new_tokens = (now_ms - bucket.updated_ms) * per_ms
        bucket.tokens = min(max_tokens, bucket.tokens + new_tokens)
        bucket.updated_ms = now_ms
        self.buckets[key] = bucket
        if len(self.buckets) > self.max_buckets:
            self.buckets.pop(next(iter(self.buckets)))
        return bucket
