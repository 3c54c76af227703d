"""Faults of the stand-in for a back end of the users."""

import time

import trio

# Requests that a brittle server has room for, from this time after it has said so on.
N_SLOTS = 3
BRITTLE_CONTACT_S = 3.0


class ServerFaults:
    """Faults of one server; ``POST /faults`` sets those in its body.

    Attributes
    ----------
    silent_until_s : float
        Until then nothing is sent; on the monotonic clock.
    rest_until_s : float
        Until then nothing is run and every reply asks to come back at that time.
    leaving : bool
        Whether every reply says that the server leaves.
    unregistered : bool
        Whether the server no longer writes its entry.
    limit : float
        Requests a second that every reply names until ``limited_until_s``.
    limited_since_s : float
        On the monotonic clock.
    max_rejected : int
        Requests that the server may reject in a second while it is brittle.
    brittle_since_s, brittle_until_s : float
    rejected_s : list of float
        Times of the rejections of the last second.
    """

    def __init__(self):
        self.silent_until_s = 0.0
        self.rest_until_s = 0.0
        self.leaving = False
        self.unregistered = False
        self.limit = 0.0
        self.limited_since_s = 0.0
        self.limited_until_s = 0.0
        self.max_rejected = 0
        self.brittle_since_s = 0.0
        self.brittle_until_s = 0.0
        self.rejected_s = []

    def set(
        self,
        silent_s=0.0,
        rest_s=0.0,
        leaving=False,
        unregistered=False,
        limit=0.0,
        limited_s=0.0,
        brittle=0,
        brittle_until_s=0.0,
    ):
        """Begin faults; but for ``brittle_until_s``, times are counted from now on."""
        now_s = time.monotonic()
        self.silent_until_s = max(self.silent_until_s, now_s + silent_s)
        self.rest_until_s = max(self.rest_until_s, now_s + rest_s)
        self.leaving = self.leaving or leaving
        self.unregistered = self.unregistered or unregistered
        if limited_s:
            self.limit = limit
            self.limited_since_s = now_s
            self.limited_until_s = now_s + limited_s
        if brittle_until_s:
            self.max_rejected = brittle
            self.brittle_since_s = now_s
            self.brittle_until_s = brittle_until_s

    def is_brittle(self):
        """Return whether the server says that it is brittle."""
        return time.monotonic() < self.brittle_until_s

    def is_full(self, n_present):
        """Return whether a brittle server rejects a request beside some others."""
        now_s = time.monotonic()
        is_settled = now_s > self.brittle_since_s + BRITTLE_CONTACT_S
        return self.is_brittle() and is_settled and n_present >= N_SLOTS

    def count_rejection(self):
        """Count a rejection; return whether the server falls over."""
        now_s = time.monotonic()
        recent = [at_s for at_s in self.rejected_s if at_s > now_s - 1.0]
        self.rejected_s = [*recent, now_s]
        return len(self.rejected_s) > self.max_rejected

    def rest_s(self):
        """Return for how long nothing is run."""
        return max(0.0, self.rest_until_s - time.monotonic())

    def limit_fields(self):
        """Return what a record says of the limit that is named now."""
        if time.monotonic() >= self.limited_until_s:
            return {}
        return {"limit": self.limit, "limited_since_s": self.limited_since_s}

    def applied_to(self, send):
        """Return an ASGI ``send`` with the silence and the notices."""

        async def send_with_faults(message):
            while (left_s := self.silent_until_s - time.monotonic()) > 0:
                await trio.sleep(left_s)
            if self.leaving and message["type"] == "http.response.start":
                message["headers"].append((b"server-leaving", b"1"))
            if self.limit_fields() and message["type"] == "http.response.start":
                limit = f"{self.limit:.3f}".encode()
                message["headers"].append((b"server-limit", limit))
            if self.is_brittle() and message["type"] == "http.response.start":
                n_borne = b"%d" % self.max_rejected
                message["headers"].append((b"server-brittle", n_borne))
            await send(message)

        return send_with_faults
