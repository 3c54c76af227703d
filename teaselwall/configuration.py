"""The configuration in force, followed from the log service."""

import logging

from teaselwall import events, services

logger = logging.getLogger(__name__)

STREAM = "configuration"
READ_LIMIT = 500
WAIT_MS = 1000
RETRY_MS = 200


class State:
    """Configuration in force on this host.

    Attributes
    ----------
    version : int
        Offset after the newest record taken.
    services : dict of str to generated.service.Service
    data_centres_out : set of str
    servers_drained : set of str
        Addresses.
    era : int
        Newest era of idempotency keys.
    """

    __slots__ = (
        "version",
        "services",
        "data_centres_out",
        "servers_drained",
        "era",
    )

    def __init__(self):
        self.version = 0
        self.services = {}
        self.data_centres_out = set()
        self.servers_drained = set()
        self.era = 1

    def apply(self, offset, record):
        """Take one record of the configuration stream."""
        kind = record.get("kind")
        if kind == "service":
            self._apply_service(record)
        elif kind == "data_centre":
            _set_member(self.data_centres_out, record["name"], record["out"])
        elif kind == "server":
            _set_member(self.servers_drained, record["address"], record["drained"])
        elif kind == "era":
            self.era = max(self.era, record["number"])
        self.version = offset + 1

    def _apply_service(self, record):
        result = services.parse(record["document"], record["name"])
        if result.is_ok():
            self.services[record["name"]] = result.ok


class Follower:
    """Keeps the state up to date from the log.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    state : State
    timeout_ms : float
    """

    __slots__ = ("clock", "log", "state", "timeout_ms", "caught_up")

    def __init__(self, clock, log, state, timeout_ms):
        self.clock = clock
        self.log = log
        self.state = state
        self.timeout_ms = timeout_ms
        self.caught_up = False

    async def run(self):
        """Follow the stream until cancelled."""
        while True:
            if not await self.step():
                await self.clock.sleep_ms(RETRY_MS)

    async def step(self):
        """Read once; return whether the log answered."""
        wait_ms = WAIT_MS if self.caught_up else 0
        result = await self.log.read(
            STREAM, self.state.version, READ_LIMIT, self.timeout_ms, wait_ms
        )
        if result.is_error():
            events.log(
                logger,
                logging.WARNING,
                "configuration_read_failed",
                detail=str(result.error),
            )
            return False
        for record in result.ok.records:
            self.state.apply(record.offset, record.data)
        self.caught_up = self.state.version >= result.ok.end
        return True


def _set_member(members, name, present):
    if present:
        members.add(name)
    else:
        members.discard(name)
