"""Weighted fair shares of organisations, by start-time fair queueing."""

MAX_KEPT = 16384
MIN_SHARE = 0.01


class FairShares:
    """Virtual time that each organisation has used.

    Only organisations that are ahead of the virtual time are kept: one that is
    not owes nothing. Memory depends on how many are active at once.

    Parameters
    ----------
    n_kept : int
        Organisations kept at most; past it the one least ahead is forgotten.
    """

    __slots__ = ("n_kept", "now", "finish")

    def __init__(self, n_kept=MAX_KEPT):
        self.n_kept = n_kept
        self.now = 0.0
        self.finish = {}

    def start(self, organisation):
        """Return the virtual time at which an organisation's next request starts."""
        return max(self.now, self.finish.get(organisation, 0.0))

    def charge(self, organisation, share, cost_ms, contended):
        """Charge an organisation for a request that starts now.

        Parameters
        ----------
        organisation : str
        share : float
            Weight, above 0.
        cost_ms : float
        contended : bool
            Whether others were waiting. An uncontended start forgives all debts.
        """
        if not contended:
            self.finish.clear()
            return
        start = self.start(organisation)
        self.now = start
        self.finish.pop(organisation, None)
        self.finish[organisation] = start + cost_ms / share
        if len(self.finish) > self.n_kept:
            self._prune()

    def _prune(self):
        ahead = {name: at for name, at in self.finish.items() if at > self.now}
        while len(ahead) > self.n_kept:
            del ahead[min(ahead, key=ahead.get)]
        self.finish = ahead
