"""Sends orders to model engines, from one entry host at a time for each pool.

An order carries the fencing number of the duty ``orders-<pool>``. Engines that check
the number refuse the orders of a former holder. For engines that don't, the next
holder waits until the former holder's lease, and the longest order begun under it,
are over.
"""

import logging

import msgspec
import trio

from teaselwall import duties, events, placements
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

ORDER_TIMEOUT_MS = 60_000
# The duty allows for orders that last this much longer than their timeout.
GRACE_MS = 1_000
CHECK_INTERVAL_MS = 5_000
# The placement is written again at this interval.
REWRITE_INTERVAL_MS = 3_600_000


class Orderer:
    """Keeps the models loaded on the engines of one pool in line with the demand.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    duty : duties.Duty
    pool : str
    fleet : fleet.Fleet
    demand : placements.ModelDemand
    weight_store : weightstore.WeightStore
    client : orders.OrderClient

    Attributes
    ----------
    fencing : int or None
        Fencing number of the duty for which ``loaded`` was read from the log.
    loaded : dict of str to messages.Loaded
        The model known to be loaded, by engine address.
    written_ms : float
        Time of the last write of the placement.
    blocked_until_ms : dict of str to float
        Times until which an engine may still work on a failed order and gets no other
        order, by engine address.
    order_end_ms : float
        Time by which the order in flight is over, or the last order if it failed; 0
        if no order is in flight and the last one succeeded.
    """

    __slots__ = (
        "clock",
        "log",
        "duty",
        "pool",
        "fleet",
        "demand",
        "weight_store",
        "client",
        "placement",
        "fencing",
        "loaded",
        "written_ms",
        "blocked_until_ms",
        "order_end_ms",
    )

    def __init__(self, clock, log, duty, pool, fleet, demand, weight_store, client):
        self.clock = clock
        self.log = log
        self.duty = duty
        self.pool = pool
        self.fleet = fleet
        self.demand = demand
        self.weight_store = weight_store
        self.client = client
        self.placement = placements.ModelPlacement(clock)
        self.fencing = None
        self.loaded = {}
        self.written_ms = 0.0
        self.blocked_until_ms = {}
        self.order_end_ms = 0.0

    def remaining_ms(self):
        """Return how long an order in flight may still last."""
        return max(0.0, self.order_end_ms - self.clock.now_ms())

    async def run(self):
        """Send orders while this host holds the duty, until cancelled."""
        while True:
            if self.duty.holds():
                await self.step()
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    async def step(self):
        """Send the next order that the demand calls for, if any."""
        if self.fencing != self.duty.fencing and not await self._recover():
            return
        if self.clock.now_ms() >= self.written_ms + REWRITE_INTERVAL_MS:
            await self._write()
        engines = self._engines()
        self.placement.loaded = self._loaded_models(engines)
        load = self.placement.next_load(sorted(engines), self._weights())
        if load is not None:
            await self._load(*load)

    def _engines(self):
        """Return the engines that may get an order, by address."""
        now_ms = self.clock.now_ms()
        return {
            server.address: server
            for server in self.fleet.by_pool.get(self.pool, {}).values()
            if self.fleet.in_service(server)
            and now_ms >= self.blocked_until_ms.get(server.address, now_ms)
        }

    def _loaded_models(self, engines):
        """Return the loaded models by address, without engines that have restarted."""
        return {
            address: loaded.model
            for address, loaded in self.loaded.items()
            if address in engines and engines[address].incarnation == loaded.incarnation
        }

    def _weights(self):
        return {
            stage.model: self.demand.weight(self.pool, stage.model)
            for document in self.fleet.state.services.values()
            for stage in document.stages
            if stage.kind == "engine" and stage.pool == self.pool
        }

    async def _load(self, address, model):
        result = await self.weight_store.reserve(model, self.duty.timeout_ms)
        if result.is_error():
            return
        server = self._engines().get(address)
        fencing = self.duty.fencing
        if server is None or fencing != self.fencing or not self.duty.holds():
            return
        order = messages.EngineOrder(
            fencing=fencing, action="load", model=model, timeout_ms=ORDER_TIMEOUT_MS
        )
        self.order_end_ms = self.clock.now_ms() + ORDER_TIMEOUT_MS
        result = await self.client.order(server, order, ORDER_TIMEOUT_MS)
        if result.is_error():
            self._record_failure(server, result.error)
            return
        self.order_end_ms = 0.0
        self.loaded[address] = messages.Loaded(
            address=address, incarnation=server.incarnation, model=model
        )
        await self._write()

    def _record_failure(self, server, error):
        """Block an engine for as long as it may still work on a failed order."""
        self.loaded.pop(server.address, None)
        now_ms = self.clock.now_ms()
        self.blocked_until_ms = {
            a: end for a, end in self.blocked_until_ms.items() if end > now_ms
        }
        self.blocked_until_ms[server.address] = self.order_end_ms
        events.log(
            logger,
            logging.WARNING,
            "order_failed",
            pool=self.pool,
            server=server.address,
            detail=str(error),
        )

    async def _recover(self):
        """Read the last holder's placement; return whether the log service answered."""
        fencing = self.duty.fencing
        record = await self._last_record()
        if record is None:
            return False
        self.loaded = {loaded.address: loaded for loaded in record.engines}
        self.fencing = fencing
        return True

    async def _last_record(self):
        """Return the newest placement record with the highest fencing number.

        Without a record, an empty one is returned; None if the log service did not
        answer.
        """
        best = messages.PlacementRecord(fencing=-1, engines=[])
        reply = await self._read(0, 1)
        if reply is None:
            return None
        offset = max(reply.first, reply.end - duties.N_TAIL_RECORDS)
        reply = await self._read(offset, duties.N_TAIL_RECORDS)
        if reply is None:
            return None
        for record in reply.records:
            placement = read_record(record)
            if placement is not None and placement.fencing >= best.fencing:
                best = placement
        return best

    async def _read(self, offset, limit):
        result = await self.log.read(
            self._stream(), offset, limit, self.duty.timeout_ms
        )
        return result.ok if result.is_ok() else None

    async def _write(self):
        """Write the loaded models to the log, for the next holder of the duty.

        If the record is lost, the next holder may order a load again.
        """
        engines = self.fleet.by_pool.get(self.pool, {})
        self.loaded = {a: known for a, known in self.loaded.items() if a in engines}
        loaded = list(self.loaded.values())
        record = messages.PlacementRecord(fencing=self.fencing, engines=loaded)
        self.written_ms = self.clock.now_ms()
        await self.log.append(self._stream(), record, self.duty.timeout_ms)

    def _stream(self):
        return f"placement-{self.pool}"


class Orderers:
    """The orderers of one entry host, one for each pool of engines.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    membership : membership.Membership
    fleet : fleet.Fleet
    weight_store : weightstore.WeightStore
    client : orders.OrderClient
    timeout_ms : float
        Time limit of one call to the log service.
    """

    __slots__ = (
        "clock",
        "log",
        "membership",
        "fleet",
        "weight_store",
        "client",
        "timeout_ms",
        "demand",
        "by_pool",
    )

    def __init__(self, clock, log, membership, fleet, weight_store, client, timeout_ms):
        self.clock = clock
        self.log = log
        self.membership = membership
        self.fleet = fleet
        self.weight_store = weight_store
        self.client = client
        self.timeout_ms = timeout_ms
        self.demand = placements.ModelDemand(clock)
        self.by_pool = {}

    async def run(self):
        """Run an orderer for each engine pool of the services, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for pool in self._pools() - self.by_pool.keys():
                    orderer = self.by_pool[pool] = self._orderer(pool)
                    nursery.start_soon(orderer.duty.run)
                    nursery.start_soon(orderer.run)
                await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    def _pools(self):
        return {
            stage.pool
            for document in self.fleet.state.services.values()
            for stage in document.stages
            if stage.kind == "engine"
        }

    def _orderer(self, pool):
        duty = duties.Duty(
            self.clock,
            self.log,
            self.membership,
            f"orders-{pool}",
            self.membership.alive,
            ORDER_TIMEOUT_MS + GRACE_MS,
            self.timeout_ms,
        )
        return Orderer(
            self.clock,
            self.log,
            duty,
            pool,
            self.fleet,
            self.demand,
            self.weight_store,
            self.client,
        )

    async def release(self):
        """Release every duty that this host holds."""
        async with trio.open_nursery() as nursery:
            for orderer in self.by_pool.values():
                remaining_ms = orderer.remaining_ms()
                nursery.start_soon(orderer.duty.release, remaining_ms)


def read_record(record):
    """Return the placement in a log record, or None if it cannot be decoded."""
    try:
        data = msgspec.to_builtins(record.data)
        return msgspec.convert(data, messages.PlacementRecord)
    except msgspec.ValidationError:
        return None
