"""Requests that wait for their stages when a planned stop reaches its limit."""

import asyncio
import json
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

N_REQUESTS = 20
N_PIECES = 4
# A burst of requests comes at once, shortly after the SIGTERM: an answer of the
# directory from before it still counts.
SENT_AFTER_S = 0.9
CALL_S, PIECE_S = 0.2, 0.042
TIMEOUT_S = 8.0


class StageServer(harness.Server):
    """Makes the pieces of one call at a time, as fast as its config says."""

    def __init__(self, *args):
        super().__init__(*args)
        self.slot = asyncio.Lock()
        self.n_calls = 0

    async def run_pieces(self, request, writer):
        """Make the pieces of a call, or refuse it while two others wait."""
        if self.n_calls > 2:
            return await self.refuse(request, writer)
        self.n_calls += 1
        try:
            async with self.slot:
                n_items = len(json.loads(request.body)["items"])
                self.work_s = CALL_S + PIECE_S * n_items
                return await super().run_pieces(request, writer)
        finally:
            self.n_calls -= 1


async def case(record, scratch, stack, trouble):
    """Stop a host under load; each request has to get a complete answer."""
    rows = [("llm", "engine", "z1"), ("llm", "engine", "z2")]
    store, servers, hosts = await harness.start_fleet(record, scratch, stack, 2, rows)
    stage_server = StageServer(record, store, "enc", "stage", "z1")
    await stage_server.start()
    stack.callback(stage_server.task.cancel)
    stack.push_async_callback(stage_server.stop)
    await asyncio.sleep(3.0)
    stopped = hosts[0]
    callers = [harness.Caller(record, stopped.callers) for _ in range(N_REQUESTS)]
    for caller in callers:
        await caller.open()
        stack.callback(caller.close)
    if trouble:
        stopped.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    headers = [("Pieces", str(N_PIECES)), ("Deadline-Ms", "8000")]
    sent_s = asyncio.get_running_loop().time()
    answers = await asyncio.gather(
        *(
            caller.request(
                f"q{number:02}",
                "POST",
                f"/draft/{number}",
                "key-1",
                b"x" * 100,
                [*headers, ("Piece-Key", f"{number:04x}")],
            )
            for number, caller in enumerate(callers)
        )
    )
    elapsed_s = asyncio.get_running_loop().time() - sent_s
    record.add("all_ended", after_s=round(elapsed_s, 3))
    begun = {name for entry in record.find("pieces") for name in entry["ids"]}
    begun |= {entry["id"] for entry in record.find("reached")}
    names = [f"q{number:02}" for number in range(N_REQUESTS)]
    cut = [n for n, a in zip(names, answers, strict=True) if not a.complete]
    # No server, no stage server either, was at work on these.
    lost = [name for name in cut if name not in begun]
    record.add("cut_requests", ids=cut)
    record.add("lost", ids=lost)
    # Each was cut before the route's timeout and its deadline.
    return harness.BROKEN if lost and elapsed_s < TIMEOUT_S else harness.HELD


if __name__ == "__main__":
    harness.main(FOLDER, case, os.environ.get("TROUBLE", "1") != "0")
