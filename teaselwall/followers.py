"""Keeps the configuration up to date from the log, or from peers in a log outage."""

import logging
import random

import msgspec
import trio

from teaselwall import changes, configuration, control, events, snapshots
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

MAX_PAGE_RECORDS = 500  # records asked for in a read
PAGE_GROWTH_FACTOR = 2
PAGE_SHRINK_FACTOR = 8
LONG_POLL_MS = 3000  # the log service answers by then, also without new records
RETRY_INTERVAL_MS = 200
OUTAGE_RETRY_INTERVAL_MS = 1000
N_PEERS_IN_OUTAGE = 2
N_PEERS_AT_START = 32
PEER_TIMEOUT_MS = 1000
CATCH_UP_TIMEOUT_MS = 700  # when a peer asks for a version this host lacks


class Follower:
    """Keeps the state up to date from the log, or from peers if the log fails.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    state : configuration.State
    timeout_ms : float
        Time limit of a call to the log or of fetching a peer's state.
    peers : peers.Peers
    membership : membership.Membership
    seeds : list of str
        Addresses of peers; they are asked even before any members are known.

    Attributes
    ----------
    caught_up : bool
        Whether the state has been as new as the log at some time, or as new as that of
        the newest peer while the log could not be used.
    log_answers : bool
        Whether the newest read of the log by ``step`` succeeded.
    log_gap : bool
        Whether the log has dropped records that this host has not read and that no
        snapshot or peer could replace. The newest known state stays in force.
    log_now_ms : int
        The log service's own time at its newest answer.
    page_limit : int
        Number of records to ask for in the next read.
    """

    __slots__ = (
        "clock",
        "log",
        "state",
        "timeout_ms",
        "peers",
        "membership",
        "seeds",
        "caught_up",
        "log_answers",
        "log_gap",
        "log_now_ms",
        "page_limit",
    )

    def __init__(self, clock, log, state, timeout_ms, peers, membership, seeds):
        self.clock = clock
        self.log = log
        self.state = state
        self.timeout_ms = timeout_ms
        self.peers = peers
        self.membership = membership
        self.seeds = seeds
        self.caught_up = False
        self.log_answers = False
        self.log_gap = False
        self.log_now_ms = 0
        self.page_limit = MAX_PAGE_RECORDS

    def ready(self):
        """Return whether this host has a configuration to serve with."""
        return self.caught_up and bool(self.state.services)

    async def run(self):
        """Read the log, or ask peers if that fails, until cancelled."""
        while True:
            wait_ms = LONG_POLL_MS if self.caught_up else 0
            if not await self.step(wait_ms):
                await self.learn_from_peers()
                await self.clock.sleep_ms(OUTAGE_RETRY_INTERVAL_MS)

    async def step(self, wait_ms=0):
        """Read a page of the log and apply it.

        Returns
        -------
        bool
            False if the read failed, the log is shorter than the state's version, or
            the log has a gap that could not be closed.
        """
        result = await self._read(self.state.version, wait_ms)
        self.log_answers = result.is_ok()
        if result.is_error():
            _warn("configuration_read_failed", detail=str(result.error))
            return False
        return await self._apply_page(result.ok)

    async def _read(self, offset, wait_ms=0):
        """Read a page; ask for fewer records after a failure and more after success.

        A page of large documents can exceed the size limit of a reply.
        """
        result = await self.log.read(
            configuration.STREAM, offset, self.page_limit, self.timeout_ms, wait_ms
        )
        if result.is_ok():
            self.page_limit = min(
                MAX_PAGE_RECORDS, self.page_limit * PAGE_GROWTH_FACTOR
            )
        else:
            self.page_limit = max(1, self.page_limit // PAGE_SHRINK_FACTOR)
        return result

    async def _apply_page(self, page):
        self.log_now_ms = max(self.log_now_ms, page.now_ms)
        if page.end < self.state.version:
            _warn("configuration_log_shorter", end=page.end)
            return False
        if page.first > self.state.version:
            return await self._recover_from_gap(page.first)
        self.log_gap = False
        for record in page.records:
            self.state.apply(record.offset, record.data, record.time_ms)
        if self.state.version >= page.end:
            self.caught_up = True
        elif not self.caught_up and page.end - self.state.version > MAX_PAGE_RECORDS:
            await self.learn_from_peers()
        return True

    async def _recover_from_gap(self, first):
        """Replace dropped records by a peer's state or a snapshot in the log.

        Returns
        -------
        bool
            Whether the state is new enough to read on.
        """
        await self.learn_from_peers()
        if self.state.version >= first or await self._restore_from_log(first):
            self.log_gap = False
            return True
        self.log_gap = True
        _warn("configuration_gap", version=self.state.version, first=first)
        return False

    async def _restore_from_log(self, first):
        """Restore the state from a restart record or a snapshot in the log.

        A snapshot is usable only if the log still has all records after its version.

        Returns
        -------
        bool
            Whether the state was replaced.
        """
        collector = snapshots.Collector()
        offset = first
        while True:
            result = await self._read(offset)
            if result.is_error() and self.page_limit > 1:
                continue
            if result.is_error() or not result.ok.records:
                return False
            for record in result.ok.records:
                if self._apply_snapshot_record(collector, record, result.ok.first):
                    return True
            offset = result.ok.records[-1].offset + 1

    def _apply_snapshot_record(self, collector, record, first):
        # Another task may have advanced the state while this one waited for the page.
        unread = record.offset >= self.state.version
        if unread and self.state.apply_restart(record.offset, record.data):
            return True
        chunk = changes.read_chunk(record.data)
        if chunk is None or chunk.through < first:
            return False
        text = collector.add(chunk)
        snapshot = snapshots.decode(text) if text else None
        return snapshot is not None and self.state.restore(snapshot)

    async def catch_up_to(self, version, limit_ms):
        """Read the log, in addition to the long poll, until a version is applied.

        If the log does not give the version in time, peers are asked for it.

        Returns
        -------
        bool
            Whether the version is applied when the time limit ends.
        """
        with self.clock.timeout_ms(limit_ms):
            while self.state.version < version:
                with self.clock.timeout_ms(limit_ms / 2):
                    await self.step()
                if self.state.version < version:
                    await self.learn_from_peers()
                if self.state.version < version:
                    await self.clock.sleep_ms(RETRY_INTERVAL_MS)
        return self.state.version >= version

    async def learn_from_peers(self):
        """Take over the newest state and the emergency orders that peers have.

        A host that has never caught up asks ``N_PEERS_AT_START`` peers. Others ask
        ``N_PEERS_IN_OUTAGE``, so that a newer state spreads during a log outage.
        """
        addresses = self._addresses()
        n_asked = N_PEERS_IN_OUTAGE if self.caught_up else N_PEERS_AT_START
        queried = random.sample(addresses, min(n_asked, len(addresses)))
        replies = await self._ask_all(queried)
        newest = max(replies, key=_version_of, default=None)
        if newest is None:
            return
        address, applied = newest
        if applied.version > self.state.version:
            await self._fetch_state(address)
        for _, reply in replies:
            self._apply_orders(reply.orders)
        if self.state.version and self.state.version >= applied.version:
            log_unusable = self.log_gap or not self.log_answers
            self.caught_up = self.caught_up or log_unusable

    def _apply_orders(self, orders):
        for order in orders:
            change = changes.read(changes.record(order))
            if change is not None:
                self.state.apply_emergency_order(change)

    def _addresses(self):
        known = {member.address for member in self.membership.alive()}
        return sorted((known | set(self.seeds)) - {self.membership.me.address})

    async def _ask_all(self, addresses):
        replies = []
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self._ask_version, replies, address)
        return replies

    async def _ask_version(self, replies, address):
        path = "/peer/configuration/version"
        reply = await self.ask(address, path, 0, PEER_TIMEOUT_MS)
        if reply is not None and reply.caught_up:
            replies.append((address, reply))

    async def ask(self, address, path, version, timeout_ms):
        """Ask a peer; return ``messages.ConfigurationApplied``, or None on failure."""
        message = messages.ConfigurationAsked(version=version)
        result = await self.peers.call(address, path, message, timeout_ms)
        if result.is_error():
            return None
        try:
            return msgspec.convert(result.ok, messages.ConfigurationApplied)
        except msgspec.ValidationError as error:
            _warn("peer_reply_unread", address=address, detail=str(error))
            return None

    async def _fetch_state(self, address):
        reply = await self.ask(
            address, "/peer/configuration/state", self.state.version, self.timeout_ms
        )
        if reply is None or not reply.snapshot:
            return
        snapshot = snapshots.decode(reply.snapshot)
        if snapshot is not None:
            self.state.restore(snapshot)


class ConfigurationHandlers:
    """Handlers for peers that ask for this host's configuration.

    Parameters
    ----------
    follower : Follower
    state : configuration.State
    """

    __slots__ = ("follower", "state")

    def __init__(self, follower, state):
        self.follower = follower
        self.state = state

    def register(self, host_control):
        """Add the handlers to ``control.Control``."""
        host_control.add("/peer/configuration/version", self.version)
        host_control.add("/peer/configuration/state", self.snapshot)

    async def version(self, message):
        """Return the applied version, after trying to catch up to the requested one."""
        request = control.read(message, messages.ConfigurationAsked)
        if request.version > self.state.version:
            await self.follower.catch_up_to(request.version, CATCH_UP_TIMEOUT_MS)
        return self._applied()

    async def snapshot(self, message):
        """Return the version, with the state if it is newer than the requester's."""
        request = control.read(message, messages.ConfigurationAsked)
        text = ""
        if self.state.version > request.version:
            text = snapshots.encode(self.state)
        return self._applied(text)

    def _applied(self, snapshot=""):
        return messages.ConfigurationApplied(
            version=self.state.version,
            caught_up=self.follower.caught_up,
            snapshot=snapshot,
            orders=list(self.state.orders.values()),
        )


def _version_of(reply):
    return reply[1].version


def _warn(event, **fields):
    events.log(logger, logging.WARNING, event, **fields)
