"""Fakes at the interfaces, driven by trio's clock."""

import expression
import msgspec
import trio

from teaselwall import clock, errors, logservice, membership
from teaselwall.generated import messages
from teaselwall.tools import log

CALL_MS = 2


def member(address, data_centre="a", nonce=""):
    """Return an entry host as membership knows it."""
    row = messages.MemberRow(address, address, data_centre, nonce or address, 0)
    return membership.Member(row, 0)


class View:
    """Membership as one host sees it, changed by the run.

    Attributes
    ----------
    members : dict of str to membership.Member
        By address.
    hidden : dict of str to int
        Members of other data centres that are only counted.
    """

    def __init__(self, address, data_centre="a", nonce=""):
        self.me = member(address, data_centre, nonce)
        self.members = {address: self.me}
        self.hidden = {}

    def alive(self):
        """Return the members in view."""
        return list(self.members.values())

    def neighbours(self):
        """Return the members of the own data centre."""
        return [m for m in self.alive() if m.data_centre == self.me.data_centre]

    def sizes(self):
        """Return the number of members by data centre."""
        sizes = dict(self.hidden)
        for known in self.alive():
            sizes[known.data_centre] = sizes.get(known.data_centre, 0) + 1
        return sizes

    def delegates(self):
        """Return the members in view."""
        return self.alive()

    def n_hosts(self):
        """Return the number of members in view."""
        return len(self.members)

    def find(self, address):
        """Return the member at an address, or None."""
        return self.members.get(address)

    def forget(self, address):
        """Take a member out of view."""
        self.members.pop(address, None)


class SteppedClock:
    """Clock that a test sets by hand.

    Attributes
    ----------
    at_ms : float
    """

    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self):
        """Return the reading."""
        return self.at_ms


class FakeLog(logservice.LogService):
    """The log service in memory, with faults.

    Attributes
    ----------
    outage : bool
        Calls are refused.
    n_lose_replies : int
        Coming appends that take effect and are answered with an unknown outcome.
    delay_effect_ms : float
        How long after its lost reply such an append takes effect.
    retention_ms : float
        Age past which records are dropped; 0 keeps all.
    """

    def __init__(self, nursery):
        self.nursery = nursery
        self.clock = clock.Clock()
        self.streams = {}
        self.n_appends = 0
        self.outage = False
        self.n_lose_replies = 0
        self.delay_effect_ms = 0
        self.retention_ms = 0

    def stream(self, name):
        """Return a stream, made where it is missing."""
        return self.streams.setdefault(name, log.Stream())

    async def append(self, stream, data, timeout_ms):
        """Append one record; see ``LogService.append``."""
        await self.clock.sleep_ms(CALL_MS)
        if self.outage:
            return _refused(errors.Outcome.NOT_RUN)
        self.n_appends += 1
        if self.n_lose_replies > 0:
            self.n_lose_replies -= 1
            self.nursery.start_soon(self._append_later, stream, data)
            await self.clock.sleep_ms(timeout_ms)
            return _refused(errors.Outcome.UNKNOWN)
        offset = self.stream(stream).append(data, self.clock.now_ms())
        return expression.Ok(offset)

    async def _append_later(self, stream, data):
        await self.clock.sleep_ms(self.delay_effect_ms)
        self.stream(stream).append(data, self.clock.now_ms())

    async def read(self, stream, offset, limit, timeout_ms, wait_ms=0):
        """Read records; see ``LogService.read``."""
        await self.clock.sleep_ms(CALL_MS)
        if self.outage:
            return _refused(errors.Outcome.NOT_RUN)
        records = self.stream(stream)
        if records.end <= offset and wait_ms:
            with self.clock.timeout_ms(wait_ms):
                await records.changed.wait()
        now_ms = self.clock.now_ms()
        if self.retention_ms:
            records.drop(now_ms - self.retention_ms)
        return expression.Ok(
            messages.LogRecords(
                first=records.first,
                end=records.end,
                now_ms=int(now_ms),
                records=records.read(offset, limit),
            )
        )


def as_json(message):
    """Return a message as it arrives at another process."""
    return msgspec.json.decode(msgspec.json.encode(message))


def _refused(outcome):
    return expression.Error(errors.Unavailable("The log is away.", outcome=outcome))


class FakeNetwork:
    """Calls between entry hosts of one test, with links that can be cut.

    Attributes
    ----------
    handlers : dict of str to dict
        By address: the handlers by path, as ``control.Control.handlers`` has them.
    down : set of str
        Addresses whose host died.
    cut : set of (str, str)
        Pairs of addresses, sender first, whose calls are lost.
    n_lose_replies : int
        Coming calls that take effect and are answered with an unknown outcome.
    """

    def __init__(self):
        self.clock = clock.Clock()
        self.handlers = {}
        self.down = set()
        self.cut = set()
        self.n_lose_replies = 0
        self.n_calls = 0

    def peers(self, address):
        """Return the client that the host at an address uses."""
        return FakePeers(self, address)


class FakePeers:
    """Client of one entry host; has the ``call`` of ``peers.Peers``."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    async def call(self, address, path, message, timeout_ms):
        """Send a message to a peer; see ``peers.Peers.call``."""
        network = self.network
        network.n_calls += 1
        message = msgspec.json.decode(msgspec.json.encode(message))
        await network.clock.sleep_ms(CALL_MS)
        if address in network.down:
            return _refused(errors.Outcome.NOT_RUN)
        if (self.address, address) in network.cut:
            await network.clock.sleep_ms(timeout_ms)
            return _refused(errors.Outcome.UNKNOWN)
        try:
            with trio.fail_after(timeout_ms / clock.MS_PER_S):
                reply = await network.handlers[address][path](message)
                await network.clock.sleep_ms(CALL_MS)
        except trio.TooSlowError:
            return _refused(errors.Outcome.UNKNOWN)
        except errors.Error as error:
            return expression.Error(error)
        if address in network.down or network.n_lose_replies > 0:
            network.n_lose_replies = max(0, network.n_lose_replies - 1)
            await network.clock.sleep_ms(timeout_ms)
            return _refused(errors.Outcome.UNKNOWN)
        return expression.Ok(msgspec.json.decode(msgspec.json.encode(reply)))
