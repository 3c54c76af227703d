"""Fake engines that fall over when they have to turn away many requests in a second."""

import collections
import contextlib

import trio

from teaselwall import httpcalls
from teaselwall.tests import crashing_engines

SLOTS = 6
QUEUE = 12
WINDOW_S = 1.0


class BrittleEngines(crashing_engines.CrashingEngines):
    """Engines with slots and a queue that may shrink.

    Parameters
    ----------
    nursery : trio.Nursery
    addresses : list of str
    work_s : float
        How long a request takes in a slot.

    Attributes
    ----------
    header : str or None
        What the engines name in their answers; None if they are not brittle.
    max_rejected : int
        Requests that an engine may reject in a second without falling over.
    queue : int
        Requests that may wait at an engine.
    rejected_s : collections.defaultdict of str to list of float
        Times of rejections by address.
    """

    def __init__(self, nursery, addresses, work_s):
        super().__init__(nursery, addresses, lambda headers: False)
        self.work_s = work_s
        self.header = None
        self.max_rejected = 0
        self.queue = QUEUE
        self.rejected_s = collections.defaultdict(list)
        self.n_present = collections.Counter()
        self.slots = {address: trio.CapacityLimiter(SLOTS) for address in addresses}

    @contextlib.asynccontextmanager
    async def forward(
        self,
        method,
        address,
        target,
        headers,
        body,
        timeout_ms,
        silence_ms=None,
        progress=None,
        fresh=True,
        may_give_up=lambda: True,
    ):
        engine = self.engines[address]
        await trio.sleep(0.002)
        if engine.ended.is_set():
            raise httpcalls.ConnectionRefused("refused")
        progress.sent = True
        reply = BrittleReply(self, engine, dict(headers))
        if self.n_present[engine.id] >= SLOTS + self.queue:
            self._reject(engine)
            reply.status = 503
            reply.headers.append((b"Not-Executed", b"1"))
            yield reply
            return
        self.n_present[engine.id] += 1
        try:
            async with self.slots[address]:
                await reply._work(self.work_s / 2)
                yield reply
        finally:
            self.n_present[engine.id] -= 1

    def _reject(self, engine):
        now_s = trio.current_time()
        times = self.rejected_s[engine.id]
        times.append(now_s)
        n_rejected = sum(at_s > now_s - WINDOW_S for at_s in times)
        if self.max_rejected and n_rejected > self.max_rejected:
            self.crash(engine)


class BrittleReply(crashing_engines.EngineReply):
    """An engine's reply, with its load and whether it is brittle."""

    def __init__(self, engines, engine, given):
        super().__init__(engines, engine, given, False)
        n_present = engines.n_present[engine.id]
        n_waiting = max(0, n_present - SLOTS)
        load = f"{n_present - n_waiting},{n_waiting},{SLOTS}"
        self.headers.append((b"Server-Load", load.encode()))
        if engines.header is not None:
            self.headers.append((b"Server-Brittle", engines.header.encode()))

    async def aiter_stream(self):
        await self._work(self.engines.work_s / 2)
        yield b"id: 1\ndata: x\n\n"
