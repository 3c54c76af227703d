"""Requests that must not run twice go on after their clients have left.

The servers are full at times and ask to be left alone for half a second. Some clients
give up after half of the latency objective and close their connection.
"""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2  # noqa: E402

N_HOSTS = 3
N_SERVERS = 2
N_SLOTS = 2
WORK_S = 0.3
REST_S = 0.5
DEADLINE_S = 4.0
TARGET_MS = 400
# Clients that give up leave after half of the objective.
LEAVE_S = 0.2
LEAVING_SHARE = 0.3
# Clients give up for so long at a time, with a pause between.
GIVE_UP_S = 5.5
GIVE_UP_PAUSE_S = 1.5
PAUSE_S = 0.08
RUN_S = 100.0
# What may reach a server this long after its client has left is a few requests.
LATE_S = 0.5
MAX_LATE = 5
SEED = 7


class Desk(harness2.Server):
    """A plain service with few slots and no queue."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.n_running = 0
        self.arrivals = []
        self.runs = []

    async def answer(self, head, body, reader, writer):
        """Run a request, or turn it away if all slots are taken."""
        request = head.get("request-id")
        self.arrivals.append((request, time.monotonic()))
        headers = self.own_headers(head)
        load = f"{self.n_running},0,{N_SLOTS}"
        if self.n_running >= N_SLOTS:
            self.record.write(f"turned away {request} at {self.name}")
            headers = {**headers, "Not-Executed": 1, "Retry-After": REST_S}
            headers["Server-Load"] = load
            start = "HTTP/1.1 503 Service Unavailable"
            writer.write(harness2.encode(start, headers))
            return
        self.record.write(f"run {request} at {self.name}")
        self.runs.append((request, time.monotonic()))
        self.n_running += 1
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self.n_running -= 1
        headers["Server-Load"] = load
        writer.write(harness2.encode("HTTP/1.1 200 OK", headers, b"done"))


class Clients:
    """Clients of which some leave early."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.random = random.Random(SEED)
        self.started_s = time.monotonic()
        self.n_sent = 0
        self.left_s = {}
        self.statuses = {}

    async def run(self):
        """Send requests to the hosts in turn until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.random.expovariate(1 / PAUSE_S))
                self.n_sent += 1
                group.create_task(self._send(f"r{self.n_sent}", self.n_sent))

    def _is_giving_up(self):
        since_s = time.monotonic() - self.started_s
        in_turn_s = since_s % (GIVE_UP_S + GIVE_UP_PAUSE_S)
        return harness2.HAS_TROUBLE and in_turn_s < GIVE_UP_S

    async def _send(self, request, number):
        hosts = self.deployment.hosts
        leaves = self.random.random() < LEAVING_SHARE and self._is_giving_up()
        headers = {"Request-Id": request, "Deadline-Ms": int(DEADLINE_S * 1000)}
        self.deployment.record.write(f"sent {request}")
        answer = await harness2.send_request(
            hosts[number % len(hosts)].ports["callers"],
            "POST",
            "/pay/1",
            headers,
            LEAVE_S if leaves else DEADLINE_S,
        )
        if leaves and not answer.is_complete:
            self.left_s[request] = time.monotonic()
            self.deployment.record.write(f"left {request}")
        else:
            self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
            self.deployment.record.write(f"answered {request} {answer.status}")


def _late(events, left_s):
    """Return the requests that came too long after their client had left."""
    return [
        (request, round(at_s - left_s[request], 2))
        for request, at_s in events
        if request in left_s and at_s - left_s[request] > LATE_S
    ]


async def main():
    """Run the case; return its exit status."""
    async with harness2.Deployment(FOLDER, N_HOSTS) as deployment:
        for n in range(N_SERVERS):
            desk = Desk(
                deployment.store,
                f"desk-{n}",
                "desk",
                deployment.zones[n],
                "1",
                deployment.record,
            )
            deployment.servers.append(desk)
            await desk.start()
        route = {
            "name": "pay",
            "host": harness2.HOST_NAME,
            "pathPrefix": "/pay/",
            "kind": "unsafe",
            "service": "desk",
            "timeoutMs": 4000,
            "targetLatencyMs": TARGET_MS,
            "maxAttempts": 1,
        }
        deployment.publish([route], [{"name": "desk", "maxConnections": 96}])
        await deployment.start_hosts()
        clients = Clients(deployment)
        task = asyncio.create_task(clients.run())
        await asyncio.sleep(RUN_S)
        task.cancel()
        await asyncio.sleep(DEADLINE_S)
        arrivals = [event for desk in deployment.servers for event in desk.arrivals]
        runs = [event for desk in deployment.servers for event in desk.runs]
        late = _late(arrivals, clients.left_s)
        late_runs = _late(runs, clients.left_s)
        text = (
            f"{clients.n_sent} sent, {len(clients.left_s)} left early, "
            f"answers {clients.statuses}; reached a server over {LATE_S} s after the "
            f"client had left: {len({r for r, _ in late})} requests, "
            f"of which {len(late_runs)} ran"
        )
        deployment.record.write(f"{text}: {late}")
        print(text)
        if not clients.statuses.get(200):
            raise harness2.CaseError("no request was served")
        is_broken = len({request for request, _ in late}) > MAX_LATE
        return harness2.EXIT_BROKEN if is_broken else harness2.EXIT_HELD


if __name__ == "__main__":
    harness2.run_case(main)
