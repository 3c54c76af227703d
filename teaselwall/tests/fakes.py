"""In-memory fakes of the log service, the membership and calls between hosts.

Their delays use trio's clock, so that tests can run on a simulated one.
"""

import expression
import msgspec
import trio

from teaselwall import clock, errors, logservice, members
from teaselwall.generated import messages
from teaselwall.tools import log

# Simulated delay of a call, and of the reply of a peer.
CALL_MS = 2


def member(address, data_centre="a", nonce=""):
    """Return the member that stands for an entry host; its name is its address."""
    row = messages.MemberRow(address, address, data_centre, nonce or address, 0)
    return members.Member(row, 0)


class View:
    """One host's membership view, without gossip: the test changes it directly.

    Attributes
    ----------
    me : members.Member
    members : dict of str to members.Member
        Members in the view, by address.
    hidden : dict of str to int
        Number of further members by data centre; ``sizes`` counts them, although
        they are not in ``members``.
    """

    def __init__(self, address, data_centre="a", nonce=""):
        self.me = member(address, data_centre, nonce)
        self.members = {address: self.me}
        self.hidden = {}

    def alive(self):
        """Return the members in the view."""
        return list(self.members.values())

    def neighbours(self):
        """Return the members in this host's data centre."""
        return [m for m in self.alive() if m.data_centre == self.me.data_centre]

    def sizes(self):
        """Return the number of members by data centre."""
        sizes = dict(self.hidden)
        for other in self.alive():
            sizes[other.data_centre] = sizes.get(other.data_centre, 0) + 1
        return sizes

    def delegates(self):
        """Return the members in the view; here every one is a delegate."""
        return self.alive()

    def n_hosts(self):
        """Return the number of members in the view."""
        return len(self.members)

    def find(self, address):
        """Return the member at an address, or None."""
        return self.members.get(address)

    def forget(self, address):
        """Remove a member from the view."""
        self.members.pop(address, None)


class SteppedClock:
    """Clock whose reading a test sets.

    Attributes
    ----------
    at_ms : float
        The reading.
    """

    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self):
        """Return the reading that the test has set."""
        return self.at_ms


class FakeLog(logservice.LogService):
    """In-memory log service with faults that a test can switch on.

    Attributes
    ----------
    outage : bool
        Whether every call fails at once without taking effect.
    n_lose_replies : int
        Number of next appends that take effect but whose reply is lost, so that
        their outcome is unknown.
    delay_effect_ms : float
        Time from the call of an append whose reply is lost to its effect.
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
        """Return a stream, and create it if it does not exist."""
        return self.streams.setdefault(name, log.Stream())

    async def append(self, stream, data, timeout_ms):
        """Append one record; see ``LogService.append``."""
        await self.clock.sleep_ms(CALL_MS)
        if self.outage:
            return _unavailable(errors.Outcome.NOT_RUN)
        self.n_appends += 1
        if self.n_lose_replies > 0:
            self.n_lose_replies -= 1
            self.nursery.start_soon(self._append_later, stream, data)
            await self.clock.sleep_ms(timeout_ms)
            return _unavailable(errors.Outcome.UNKNOWN)
        offset = self.stream(stream).append(data, self.clock.now_ms())
        return expression.Ok(offset)

    async def _append_later(self, stream, data):
        await self.clock.sleep_ms(self.delay_effect_ms)
        self.stream(stream).append(data, self.clock.now_ms())

    async def read(self, stream, offset, limit, timeout_ms, wait_ms=0):
        """Read records; see ``LogService.read``."""
        await self.clock.sleep_ms(CALL_MS)
        if self.outage:
            return _unavailable(errors.Outcome.NOT_RUN)
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
    """Return a message as another process decodes it from JSON."""
    return msgspec.json.decode(msgspec.json.encode(message))


def _unavailable(outcome):
    return expression.Error(errors.Unavailable("The call failed.", outcome=outcome))


class FakeNetwork:
    """Network between the entry hosts of one test, with faults a test switches on.

    Attributes
    ----------
    handlers : dict of str to dict
        Handlers by path, as in ``control.Control.handlers``, by address.
    down : set of str
        Addresses of hosts that have crashed.
    cut : set of (str, str)
        Pairs of addresses, sender first, between which calls are lost.
    n_lose_replies : int
        Number of next calls that take effect but whose reply is lost, so that their
        outcome is unknown.
    """

    def __init__(self):
        self.clock = clock.Clock()
        self.handlers = {}
        self.down = set()
        self.cut = set()
        self.n_lose_replies = 0
        self.n_calls = 0

    def peers(self, address):
        """Return the client of the host at an address."""
        return FakePeers(self, address)


class FakePeers:
    """One entry host's client on a ``FakeNetwork``; replaces ``peers.Peers``."""

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
            return _unavailable(errors.Outcome.NOT_RUN)
        if (self.address, address) in network.cut:
            await network.clock.sleep_ms(timeout_ms)
            return _unavailable(errors.Outcome.UNKNOWN)
        try:
            with trio.fail_after(timeout_ms / clock.MS_PER_S):
                reply = await network.handlers[address][path](message)
                await network.clock.sleep_ms(CALL_MS)
        except trio.TooSlowError:
            return _unavailable(errors.Outcome.UNKNOWN)
        except errors.Error as error:
            return expression.Error(error)
        if address in network.down or network.n_lose_replies > 0:
            network.n_lose_replies = max(0, network.n_lose_replies - 1)
            await network.clock.sleep_ms(timeout_ms)
            return _unavailable(errors.Outcome.UNKNOWN)
        return expression.Ok(msgspec.json.decode(msgspec.json.encode(reply)))
