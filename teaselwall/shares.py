"""Weighted fair shares of organisations, by start-time fair queueing."""

MAX_ORGANISATIONS = 16384
MIN_SHARE = 0.01


class FairShares:
    """Virtual finish time of each organisation's last request.

    Only organisations whose finish time is ahead of the virtual time are kept, as
    the others start at the virtual time anyway. Memory therefore depends on the number
    of organisations that are active at once.

    Parameters
    ----------
    max_organisations : int
        Maximum number of organisations kept. Above it, the organisations least
        ahead of the virtual time are dropped.

    Attributes
    ----------
    virtual_ms : float
        Virtual time: the start time of the request that was last charged.
    finish_ms : dict of str to float
        Virtual time at which each organisation's last request finishes.
    """

    __slots__ = ("max_organisations", "virtual_ms", "finish_ms")

    def __init__(self, max_organisations=MAX_ORGANISATIONS):
        self.max_organisations = max_organisations
        self.virtual_ms = 0.0
        self.finish_ms = {}

    def start_ms(self, organisation):
        """Return the virtual time at which an organisation's next request starts."""
        return max(self.virtual_ms, self.finish_ms.get(organisation, 0.0))

    def charge(self, organisation, share, cost_ms, contended):
        """Charge an organisation for a request that starts now.

        Parameters
        ----------
        organisation : str
        share : float
            Weight, above 0.
        cost_ms : float
            Expected time of the request.
        contended : bool
            Whether other requests were waiting. If not, every organisation's use is
            forgotten and the request is not charged.
        """
        if not contended:
            self.finish_ms.clear()
            return
        start_ms = self.start_ms(organisation)
        self.virtual_ms = start_ms
        self.finish_ms.pop(organisation, None)
        self.finish_ms[organisation] = start_ms + cost_ms / share
        if len(self.finish_ms) > self.max_organisations:
            self._prune()

    def _prune(self):
        ahead = {
            name: at_ms
            for name, at_ms in self.finish_ms.items()
            if at_ms > self.virtual_ms
        }
        while len(ahead) > self.max_organisations:
            del ahead[min(ahead, key=ahead.get)]
        self.finish_ms = ahead
