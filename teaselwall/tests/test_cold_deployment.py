import trio

from teaselwall.tools import callers, deployments

N_ROUNDS = 4
N_CALLS_PER_HOST = 5


async def test_processes_before_cold_servers_overload_none(tmp_path):
    """Guards against entry hosts that together overload servers that are still cold.

    All servers start cold, and three entry hosts send calls to them at once.
    """
    running = deployments.Deployment("maldari", tmp_path, n_entry_hosts=3, warm=False)
    try:
        await running.start()
        n_whole = await call_all(running)
        records = []
        for pool in running.plan["pools"]:
            records.extend(await running.runs(pool["name"]))
    finally:
        await running.stop()
    assert sum(record["n_cold_overloads"] for record in records) == 0
    assert n_whole > 0


async def call_all(running):
    """Call all entry hosts at once in rounds; return the number of whole answers."""
    done = []

    async def call(host):
        answer = await callers.call(
            running.transport, host.callers, "buyer-chat", "buyers-desk", "Is it sold?"
        )
        done.append(answer.whole)

    for _ in range(N_ROUNDS):
        async with trio.open_nursery() as nursery:
            for host in running.entry_hosts * N_CALLS_PER_HOST:
                nursery.start_soon(call, host)
    return sum(done)
