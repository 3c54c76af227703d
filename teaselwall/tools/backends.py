"""Base class of the stand-ins for backend servers: capacity, cold start, load."""

import contextlib
import random
import secrets

import msgspec

from teaselwall import errors, responses
from teaselwall.generated import messages
from teaselwall.tools import standins

# Calls that a cold server works on at once without slowing down.
COLD_CAPACITY = 2
# Calls after which a cold server is warm.
N_COLD_CALLS = 20
# How many times longer a call takes on a cold server over its capacity.
COLD_OVERLOAD_FACTOR = 5


class Backend(standins.StandIn):
    """A backend server with a limited capacity that starts cold or warm.

    Parameters
    ----------
    capacity : int
        Calls that a warm server works on at once without slowing down.
    service_ms : float
        Time of one call without slowdown.
    warm : bool
        Whether the server starts warm.

    Attributes
    ----------
    incarnation : str
        Identifies this process in load reports.
    n_cold_calls_left : int
        Calls that must still end before the server is warm.
    in_flight : int
    n_cold_overloads : int
        Calls that took a cold server over its cold capacity.
    max_cold_in_flight : int
        Most calls in flight at once while cold.
    last_work_ms : float
        Start of the latest call.
    runs : list of dict
        Calls run, as subclasses record them.
    """

    def __init__(self, capacity, service_ms, warm):
        super().__init__()
        self.capacity = capacity
        self.service_ms = service_ms
        self.incarnation = secrets.token_hex(8)
        self.n_cold_calls_left = 0 if warm else N_COLD_CALLS
        self.in_flight = 0
        self.n_cold_overloads = 0
        self.max_cold_in_flight = 0
        self.last_work_ms = 0.0
        self.runs = []
        self.random = random.Random(0)

    @property
    def cold(self):
        """Whether the server is still cold."""
        return self.n_cold_calls_left > 0

    async def handle(self, method, path, query, body, send):
        """Answer the calls that all backend servers have in common.

        Raises
        ------
        errors.Unavailable
            For the share of calls that ``fail_percent`` makes fail.
        """
        if path == "/v1/load":
            await responses.send_json(send, self.report())
        elif path == "/v1/runs":
            await responses.send_json(send, self.record())
        elif path == "/v1/cold":
            self.n_cold_calls_left = N_COLD_CALLS
            self.max_cold_in_flight = 0
            await responses.send_json(send, self.report())
        else:
            self._fail_at_random()
            with self.working():
                await self.work(body, send)

    async def work(self, body, send):
        """Run one call; implemented by subclasses."""
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
        """Return the runs and cold-start counts, for checks of a test or benchmark."""
        return {
            "runs": self.runs,
            "n_cold_overloads": self.n_cold_overloads,
            "max_cold_in_flight": self.max_cold_in_flight,
            "last_work_age_ms": self.clock.now_ms() - self.last_work_ms,
        }

    @contextlib.contextmanager
    def working(self):
        """Count a call as in flight within a ``with`` block."""
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
        """Return the factor by which the current load slows a call."""
        if self.cold and self.in_flight > COLD_CAPACITY:
            return COLD_OVERLOAD_FACTOR
        return max(1.0, self.in_flight / self.capacity)

    def load_header(self):
        """Return the header that carries the load report."""
        return (b"server-load", msgspec.json.encode(self.report()))

    def _fail_at_random(self):
        if self.random.uniform(0, 100) < self.faults.fail_percent:
            raise errors.Unavailable(
                "The stand-in's fail_percent fault made this call fail."
            )


def parser(description):
    """Return an argument parser with the options that all backend servers have."""
    result = standins.parser(description)
    result.add_argument("--capacity", type=int, default=8)
    result.add_argument("--service-ms", type=float, default=10.0)
    result.add_argument("--warm", action="store_true")
    return result
