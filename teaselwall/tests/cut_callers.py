"""Callers of entry hosts that may lose their paths to backend servers."""

import dataclasses
import random

import trio

from teaselwall import directories
from teaselwall.tests import platform_entry

PATHS = ("/safe/1", "/once/1", "/stream/1", "/staged/1")
# Callers keep an answer of the directory for a second, every fourth of them for three.
KEPT_S = 1.0
LONG_KEPT_S = 3.0
N_CALLERS = 24
# By the users' rules: from this time after the start of a cut on, first attempts at cut
# hosts are served two thirds as often as the others, or at most 10 and 1 in 50 of all
# fail there.
CONTACT_S = 3.0
MIN_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50


@dataclasses.dataclass(slots=True)
class Outcome:
    """One first attempt: when and at which host it was made, and how it ended."""

    at_s: float
    host: str
    served: bool
    path: str
    status: int | None
    request: str
    took_s: float


class Traffic:
    """Callers that ask the directory and send single attempts.

    Attributes
    ----------
    outcomes : list of Outcome
    """

    def __init__(self, world, seed=1):
        self.world = world
        self.random = random.Random(seed)
        self.outcomes = []
        self.answers = {}
        self.n_requests = 0

    async def run(self, length_s, interval_s=0.04):
        until_s = trio.current_time() + length_s
        while trio.current_time() < until_s:
            caller = self.random.randrange(N_CALLERS)
            address = self._address(caller)
            self.world.nursery.start_soon(self._send, address)
            await trio.sleep(self.random.expovariate(1 / interval_s))

    def _address(self, caller):
        """Return an address that a caller uses, from its answer of the directory."""
        now_s = trio.current_time()
        until_s, addresses = self.answers.get(caller, (0.0, []))
        if now_s >= until_s:
            asked = self.random.choice(list(self.world.hosts.values()))
            addresses = directory_of(asked)
            kept_s = KEPT_S if caller % 4 else LONG_KEPT_S
            self.answers[caller] = (now_s + kept_s, addresses)
        return self.random.choice(addresses)

    async def _send(self, address):
        self.n_requests += 1
        request = f"q{self.n_requests}"
        path = self.random.choice(PATHS)
        caller = platform_entry.Caller(
            path,
            Request_Id=request,
            Prompt_Prefix=f"a:100,{self.n_requests:x}:50",
            Pieces="2",
            Piece_Key=f"{self.n_requests:x}",
        )
        at_s = trio.current_time()
        with platform_entry.cut_answers_allowed():
            await caller.send_request(self.world.applications[address])
        host = address.rpartition(":")[0] + ":4"
        served = caller.status == 200 and caller.ended
        took_s = trio.current_time() - at_s
        self.outcomes.append(
            Outcome(at_s, host, served, path, caller.status, request, took_s)
        )


def directory_of(host):
    """Return the addresses that a host's directory names."""
    return directories.addresses(host.membership, host.fleet.pools_in_use())


def check_recovery(outcomes, cut_hosts, began_s, ended_s):
    """Return a violation of the users' rule on cut hosts, or an empty text."""
    counted = [o for o in outcomes if began_s + CONTACT_S <= o.at_s < ended_s]
    there = [o for o in counted if o.host in cut_hosts]
    others = [o for o in counted if o.host not in cut_hosts]
    n_served, n_others = (sum(o.served for o in group) for group in (there, others))
    n_failed = len(there) - n_served
    share, share_others = (
        n / max(1, len(g)) for n, g in ((n_served, there), (n_others, others))
    )
    is_worse = share < MIN_RATIO * share_others
    if is_worse and n_failed > MAX_FAILED + MAX_FAILED_SHARE * len(counted):
        return (
            f"cut hosts served {n_served} of {len(there)}, "
            f"the others {n_others} of {len(others)}"
        )
    return ""


def failed_share(outcomes, since_s, until_s):
    """Return the share of first attempts in a time that were not served."""
    counted = [o for o in outcomes if since_s <= o.at_s < until_s]
    return sum(not o.served for o in counted) / max(1, len(counted))
