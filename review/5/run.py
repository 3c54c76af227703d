"""A long stream whose request comes later than 3 s after the SIGTERM of its host."""

import asyncio
import json
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

# Pause between the SIGTERMs of two machines, one at a time.
GAP_S = 1.0
# The platform starts a process again so long after its end.
RESTART_S = 0.9
RESOLVED_AFTER_S = 2.9
SENT_AFTER_S = 3.1
# About the longest chat answers of the small deployments: 56 events on average.
N_EVENTS, INTERVAL_S = 60, 0.1
N_REQUESTS = 3


async def resolve(address):
    """Ask the directory for the addresses of entry hosts."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    target = "/v1/resolve?name=review.example&region=r1&zone=z1"
    writer.write(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
    head = await harness.read_head(reader)
    body = await reader.readexactly(int(head.header("content-length")))
    writer.close()
    return json.loads(body)


async def start_again(host):
    """Start a process again a short while after its end."""
    await asyncio.to_thread(host.process.wait)
    await asyncio.sleep(RESTART_S)
    host.start()


async def case(record, scratch, stack, trouble):
    """Send requests to a host that is being stopped, as the directory says."""
    rows = [
        ("llm", "engine", "z1"),
        ("llm", "engine", "z2"),
        ("core", "plain", "z1"),
        ("enc", "stage", "z1"),
    ]
    _, servers, hosts = await harness.start_fleet(record, scratch, stack, 2, rows)
    for server in servers:
        server.n_events, server.interval_s = N_EVENTS, INTERVAL_S
    if trouble:
        hosts[1].signal(signal.SIGTERM)
        restarting = asyncio.create_task(start_again(hosts[1]))
        stack.callback(restarting.cancel)
        await asyncio.sleep(GAP_S)
        hosts[0].signal(signal.SIGTERM)
    await asyncio.sleep(RESOLVED_AFTER_S)
    # Such an answer counts for its time to live; the requests are sent well within it.
    directory = await resolve(hosts[0].directory)
    record.add("resolved", **directory)
    if hosts[0].callers not in directory["addresses"]:
        return harness.NOT_RUN
    callers = [harness.Caller(record, hosts[0].callers) for _ in range(N_REQUESTS)]
    for caller in callers:
        stack.callback(caller.close)
    await asyncio.sleep(SENT_AFTER_S - RESOLVED_AFTER_S)
    answers = await asyncio.gather(
        *(
            caller.request(
                f"q{number}",
                "POST",
                f"/chat/{number}",
                "key-1",
                b"x" * 100,
                [("Deadline-Ms", "12000")],
            )
            for number, caller in enumerate(callers)
        )
    )
    lost = [
        f"q{number}"
        for number, answer in enumerate(answers)
        if not answer.complete and record.find("ran", id=f"q{number}")
    ]
    record.add("lost", ids=lost)
    return harness.BROKEN if lost else harness.HELD


if __name__ == "__main__":
    harness.main(FOLDER, case, os.environ.get("TROUBLE", "1") != "0")
