"""Limits on an organisation's requests per second over all entry hosts."""

from teaselwall import clock, errors

BURST_MS = 1000.0
MAX_KEPT = 20000


class Bucket:
    """Tokens of one organisation on this host."""

    __slots__ = ("tokens", "at_ms")

    def __init__(self, tokens, at_ms):
        self.tokens = tokens
        self.at_ms = at_ms


class Rates:
    """Token buckets that hold this host's part of each organisation's limit.

    Each entry host allows the limit divided by the number of entry hosts, so that
    their sum keeps to the limit without a message. While hosts disagree about
    their number by a part, the sum is off by the same part.

    Parameters
    ----------
    clock : clock.Clock
    membership : membership.Membership
    n_kept : int
        Buckets kept at most; past it the longest unused one is dropped.
    """

    __slots__ = ("clock", "membership", "n_kept", "buckets")

    def __init__(self, clock, membership, n_kept=MAX_KEPT):
        self.clock = clock
        self.membership = membership
        self.n_kept = n_kept
        self.buckets = {}

    def check(self, service, organisation):
        """Take a token, or return the refusal.

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
            f"{organisation.name} is over its limit of "
            f"{organisation.limit_per_s} requests a second for {service}."
        )
        wait_ms = (1 - bucket.tokens) / per_ms
        return errors.Overloaded(detail, retry_after_ms=wait_ms)

    def _n_hosts(self):
        return max(1, self.membership.n_hosts())

    def _bucket(self, key, per_ms):
        now_ms = self.clock.now_ms()
        depth = max(1.0, per_ms * BURST_MS)
        bucket = self.buckets.pop(key, None) or Bucket(depth, now_ms)
        earned = (now_ms - bucket.at_ms) * per_ms
        bucket.tokens = min(depth, bucket.tokens + earned)
        bucket.at_ms = now_ms
        self.buckets[key] = bucket
        if len(self.buckets) > self.n_kept:
            self.buckets.pop(next(iter(self.buckets)))
        return bucket
