"""Base of the stand-ins for backend servers: capacity, cold start, load reports."""

import contextlib
import random
import secrets

import msgspec

from teaselwall import errors, responses
from teaselwall.generated import messages
from teaselwall.tools import standins

COLD_CAPACITY = 2
COLD_CALLS = 20
OVERLOAD_SLOWDOWN = 5


class Backend(standins.StandIn):
    """A backend server with a bounded capacity that starts cold.

    Parameters
    ----------
    capacity : int
        Calls it works on at once without slowing down.
    service_ms : float
        Time of one call.
    warm : bool
        Whether it starts warm.
    """

    def __init__(self, capacity, service_ms, warm):
        super().__init__()
        self.capacity = capacity
        self.service_ms = service_ms
        self.incarnation = secrets.token_hex(8)
        self.n_cold_calls_left = 0 if warm else COLD_CALLS
        self.in_flight = 0
        self.n_cold_overloads = 0
        self.max_cold_in_flight = 0
        self.last_work_ms = 0.0
        self.runs = []
        self.random = random.Random(0)

    @property
    def cold(self):
        """Whether the server still warms up."""
        return self.n_cold_calls_left > 0

    async def handle(self, method, path, query, body, send):
        """Answer the calls that all backend servers know."""
        if path == "/v1/load":
            await responses.send_json(send, self.report())
        elif path == "/v1/runs":
            await responses.send_json(send, self.record())
        elif path == "/v1/cold":
            self.n_cold_calls_left = COLD_CALLS
            self.max_cold_in_flight = 0
            await responses.send_json(send, self.report())
        else:
            self._fail_by_chance()
            with self.working():
                await self.work(body, send)

    async def work(self, body, send):
        """Do one call of the server's own kind."""
        raise NotImplementedError

    def report(self):
        """Return the load report."""
        return messages.LoadReport(
            incarnation=self.incarnation,
            in_flight=self.in_flight,
            capacity=self.capacity,
            cold=self.cold,
        )

    def record(self):
        """Return what this server knows of its own runs."""
        return {
            "runs": self.runs,
            "n_cold_overloads": self.n_cold_overloads,
            "max_cold_in_flight": self.max_cold_in_flight,
            "last_work_age_ms": self.clock.now_ms() - self.last_work_ms,
        }

    @contextlib.contextmanager
    def working(self):
        """Count a call in flight."""
        self.in_flight += 1
        self.last_work_ms = self.clock.now_ms()
        if self.cold:
            self.max_cold_in_flight = max(self.max_cold_in_flight, self.in_flight)
            if self.in_flight > COLD_CAPACITY:
                self.n_cold_overloads += 1
        try:
            yield
        finally:
            self.in_flight -= 1
            if self.n_cold_calls_left:
                self.n_cold_calls_left -= 1

    def slowdown(self):
        """Return by what factor the present load slows a call."""
        if self.cold and self.in_flight > COLD_CAPACITY:
            return OVERLOAD_SLOWDOWN
        return max(1.0, self.in_flight / self.capacity)

    def load_header(self):
        """Return the header that carries the load report."""
        return (b"server-load", msgspec.json.encode(self.report()))

    def _fail_by_chance(self):
        if self.random.uniform(0, 100) < self.faults.fail_percent:
            raise errors.Unavailable("The stand-in fails this call.")


def parser(description):
    """Return an argument parser with the options of backend servers."""
    result = standins.parser(description)
    result.add_argument("--capacity", type=int, default=8)
    result.add_argument("--service-ms", type=float, default=10.0)
    result.add_argument("--warm", action="store_true")
    return result
