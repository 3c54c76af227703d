"""Benchmark of failures on real processes under load.

Entry hosts are killed and restarted; data centres are taken out and back.
"""

import pathlib
import random
import signal
import tomllib

import trio

from teaselwall import services
from teaselwall.tools import callers, checks, deployments

FOLDER = pathlib.Path("build/bench-failures")
N_ENTRY_HOSTS = 4
N_KILLS = 20
KILL_INTERVAL_S = 1.2
PURCHASE_INTERVAL_S = 0.04
MAX_SENDS = 6
RESEND_INTERVAL_S = 0.4
N_DATA_CENTRE_OUTS = 10
DATA_CENTRE_OUT_S = 3.0
DATA_CENTRE_BACK_S = 12.0
N_RAPID_OUTS = 4
RAPID_BACK_S = 3.0
REQUEST_INTERVAL_S = 0.05
NEW_WORK_TARGET_MS = 2000
OVERRIDES = {
    "membership": {
        "answer_kept_ms": 500,
        "exchange_interval_ms": 200,
        "dead_after_ms": 1000,
    }
}


class Purchases:
    """Purchases that are resent with their key until they get a complete answer.

    Each is sent at most ``MAX_SENDS`` times.

    Attributes
    ----------
    book : callers.AddressBook
        The entry hosts' addresses.
    outcomes : dict of str to str
        By key: ``ran``, ``not_run`` or ``unknown``.
    receipts : dict of str to set of str
        Receipts received, by key.
    stopped : bool
        Set to True to start no more purchases.
    """

    __slots__ = ("deployment", "book", "random", "outcomes", "receipts", "stopped")

    def __init__(self, deployment):
        self.deployment = deployment
        self.random = random.Random(7)
        addresses = [host.callers for host in deployment.entry_hosts]
        self.book = callers.AddressBook(deployment.transport, addresses, self.random)
        self.outcomes = {}
        self.receipts = {}
        self.stopped = False

    async def run(self):
        """Start purchases at an even rate until stopped."""
        index = 0
        async with trio.open_nursery() as nursery:
            while not self.stopped:
                index += 1
                nursery.start_soon(self._purchase, index)
                await trio.sleep(PURCHASE_INTERVAL_S)

    async def _purchase(self, index):
        key = f"{await self.book.key_prefix()}kill-{index}"
        self.outcomes[key] = "unknown"
        self.receipts[key] = set()
        for _ in range(MAX_SENDS):
            done = await self._send(key)
            if done.whole:
                self.receipts[key].add(done.answer["output"]["receipt"])
                self.outcomes[key] = "ran"
                return
            if done.outcome in ("not_run", "unknown"):
                self.outcomes[key] = done.outcome
            await trio.sleep(RESEND_INTERVAL_S)

    async def _send(self, key):
        host = self.random.choice(self.deployment.entry_hosts)
        return await callers.call(
            self.deployment.transport,
            host.callers,
            "ticket-purchase",
            "gate-kiosks",
            f"Two adults {key}",
            key=key,
            timeout_ms=3000,
        )


async def _measure_kills(figures):
    deployment = deployments.Deployment(
        "directorate", FOLDER / "kills", N_ENTRY_HOSTS, overrides=OVERRIDES
    )
    try:
        await deployment.start()
        purchases = Purchases(deployment)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(purchases.run)
            for index in range(N_KILLS):
                await trio.sleep(KILL_INTERVAL_S)
                host = deployment.entry_hosts[index % N_ENTRY_HOSTS]
                host.process.send_signal(signal.SIGKILL)
                host.process.wait()
                await trio.sleep(KILL_INTERVAL_S / 2)
                deployment.restart(host)
            await trio.sleep(KILL_INTERVAL_S)
            purchases.stopped = True
        records = await deployment.runs("ticketing")
        _record_purchases(figures, purchases, records)
    finally:
        await deployment.stop()


def _record_purchases(figures, purchases, records):
    ran = {run["key"] for record in records for run in record["runs"]}
    outcomes = purchases.outcomes
    n_false_not_run = sum(
        1 for key, value in outcomes.items() if value == "not_run" and key in ran
    )
    n_lost = sum(
        1 for key, value in outcomes.items() if value == "ran" and key not in ran
    )
    n_several = sum(1 for receipts in purchases.receipts.values() if len(receipts) > 1)
    unknown = [key for key, value in outcomes.items() if value == "unknown"]
    n_without_run = sum(1 for key in unknown if key not in ran)
    figures["kill_purchases"] = (len(outcomes), "requests", None)
    figures["kill_purchases_ran"] = (
        sum(value == "ran" for value in outcomes.values()),
        "requests",
        None,
    )
    figures["kill_doubled"] = (checks.n_doubled(records), "keys", 0)
    figures["kill_false_not_run"] = (n_false_not_run, "keys", 0)
    figures["kill_acknowledged_lost"] = (n_lost, "keys", 0)
    figures["kill_several_receipts"] = (n_several, "keys", 0)
    figures["kill_unknown"] = (len(unknown), "keys", None)
    figures["kill_unknown_without_run"] = (n_without_run, "keys", 0)


class Load:
    """Requests of all services at an even rate, checked against expected answers.

    Attributes
    ----------
    book : callers.AddressBook
        The entry hosts' addresses.
    inputs : list of dict
        Sample requests: service, organisation and text.
    stopped : bool
        Set to True to send no more requests.
    done : list of tuple
        For each request its start in s, whether the expected answer came within
        the deadline, and the call's result.
    """

    __slots__ = ("deployment", "book", "documents", "inputs", "stopped", "done")

    def __init__(self, deployment):
        self.deployment = deployment
        folder = deployments.SAMPLES / deployment.name
        self.inputs = tomllib.loads((folder / "inputs.toml").read_text())["inputs"]
        self.documents = {
            path.stem: services.read(path).ok
            for path in (folder / "services").glob("*.toml")
        }
        addresses = [host.callers for host in deployment.entry_hosts]
        self.book = callers.AddressBook(
            deployment.transport, addresses, random.Random(3)
        )
        self.stopped = False
        self.done = []

    async def run(self):
        """Send requests until stopped."""
        index = 0
        async with trio.open_nursery() as nursery:
            while not self.stopped:
                index += 1
                nursery.start_soon(self._request, index)
                await trio.sleep(REQUEST_INTERVAL_S)

    async def _request(self, index):
        chosen = self.inputs[index % len(self.inputs)]
        document = self.documents[chosen["service"]]
        text = f"{chosen['text']} ({index})"
        options = {}
        if not document.idempotent:
            options["key"] = f"{await self.book.key_prefix()}load-{index}"
        started_s = trio.current_time()
        done = await callers.call(
            self.deployment.transport,
            await self.book.choose(),
            document.service,
            chosen["organisation"],
            text,
            **options,
        )
        correct = done.whole and checks.is_own_answer(
            document, text, done.key, done.answer
        )
        in_time = correct and done.elapsed_ms <= document.deadline_ms
        self.done.append((started_s, in_time, done))


async def _measure_data_centre_outs(figures, suffix, n_outs, back_s):
    deployment = deployments.Deployment(
        "directorate", FOLDER / "zones", N_ENTRY_HOSTS, overrides=OVERRIDES
    )
    try:
        await deployment.start()
        load = Load(deployment)
        windows = {"steady": [], "out": [], "return": []}
        last_work_ms = 0.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            begin_s = trio.current_time()
            await trio.sleep(2 * DATA_CENTRE_OUT_S)
            windows["steady"].append((begin_s, trio.current_time()))
            for index in range(n_outs):
                centres = deployment.plan["data_centres"]
                centre = centres[index % len(centres)]
                out_s = trio.current_time()
                await deployment.set_data_centre(centre, out=True)
                accepted_s = trio.current_time()
                await trio.sleep(DATA_CENTRE_OUT_S)
                late_ms = await deployment.last_work_ms(centre, accepted_s)
                last_work_ms = max(last_work_ms, late_ms)
                await deployment.make_cold(centre)
                begin_s = trio.current_time()
                windows["out"].append((out_s, begin_s))
                await deployment.set_data_centre(centre, out=False)
                await trio.sleep(back_s)
                windows["return"].append((begin_s, trio.current_time()))
            load.stopped = True
        _record_attainment(figures, suffix, load, windows, last_work_ms)
        await _record_overloads(figures, suffix, deployment)
    finally:
        await deployment.stop()


def _record_attainment(figures, suffix, load, windows, last_work_ms):
    percent = {name: _attainment(load, spans) for name, spans in windows.items()}
    figures[f"attainment_percent_steady{suffix}"] = (percent["steady"], "%", None)
    for name in ("out", "return"):
        target = 0.99 * percent["steady"]
        figures[f"attainment_percent_zone_{name}{suffix}"] = (
            percent[name],
            "%",
            target,
        )
    n_cut = sum(1 for _, _, done in load.done if not done.whole and not done.outcome)
    figures[f"zone_requests{suffix}"] = (len(load.done), "requests", None)
    figures[f"zone_cut_requests{suffix}"] = (n_cut, "requests", 0)
    name = f"zone_out_last_new_work_real_ms{suffix}"
    figures[name] = (last_work_ms, "ms", NEW_WORK_TARGET_MS)


def _attainment(load, spans):
    inside = [
        in_time
        for started_s, in_time, _ in load.done
        if any(begin <= started_s < end for begin, end in spans)
    ]
    return 100 * sum(inside) / max(1, len(inside))


async def _record_overloads(figures, suffix, deployment):
    n_overloads = 0
    for pool in deployment.plan["pools"]:
        for record in await deployment.runs(pool["name"]):
            n_overloads += record["n_cold_overloads"]
    figures[f"zone_cold_overload_events{suffix}"] = (n_overloads, "events", 0)


async def _measure():
    figures = {}
    await _measure_kills(figures)
    await _measure_data_centre_outs(figures, "", N_DATA_CENTRE_OUTS, DATA_CENTRE_BACK_S)
    await _measure_data_centre_outs(figures, "_rapid", N_RAPID_OUTS, RAPID_BACK_S)
    return figures


def measure():
    """Return the figures by name as (value, unit, target)."""
    return trio.run(_measure)
