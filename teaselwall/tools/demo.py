"""The demo: a sample deployment under mixed requests, with a data centre out.

``python -m teaselwall.tools.demo --deployment directorate|maldari [--keep]``
"""

import argparse
import pathlib
import random
import shutil
import signal
import sys
import tomllib

import trio

from teaselwall import metrics, services
from teaselwall.tools import callers, checks, deployments

FOLDER = pathlib.Path("build/demo")
N_ENTRY_HOSTS = 3
ANSWER_KEPT_MS = 1000  # how long callers keep the list of entry hosts
LOAD_S = 12.0
OUT_AT_S = 4.0
BACK_AT_S = 8.0
INTERVAL_S = 0.06
EXIT_INTERRUPTED = 130


class Demo:
    """One run of the demo.

    Parameters
    ----------
    deployment : deployments.Deployment

    Attributes
    ----------
    n_refused : int
        Calls with the outcome ``not_run``.
    n_lost : int
        Calls without an answer, of which it is not known that they did not run.
    n_misdelivered : int
        Calls answered with the answer to another request.
    n_late : int
        Calls answered after the deadline.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.random = random.Random(1)
        folder = deployments.SAMPLES / deployment.name
        self.inputs = tomllib.loads((folder / "inputs.toml").read_text())["inputs"]
        self.documents = {
            path.stem: services.read(path).ok
            for path in (folder / "services").glob("*.toml")
        }
        self.metrics = metrics.Metrics()
        self.n_calls = 0
        self.n_refused = 0
        self.n_lost = 0
        self.n_misdelivered = 0
        self.n_late = 0
        self.address_book = callers.AddressBook(
            deployment.transport,
            [host.callers for host in deployment.entry_hosts],
            self.random,
        )

    async def run(self):
        """Send mixed requests and meanwhile take a data centre out and back."""
        data_centre = self.deployment.plan["data_centres"][0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load, nursery)
            await trio.sleep(OUT_AT_S)
            print(f"taking data centre {data_centre} out", flush=True)
            await self.deployment.set_data_centre(data_centre, out=True)
            await trio.sleep(BACK_AT_S - OUT_AT_S)
            print(f"bringing data centre {data_centre} back", flush=True)
            await self.deployment.set_data_centre(data_centre, out=False)

    async def _load(self, nursery):
        n_calls = int(LOAD_S / INTERVAL_S)
        for index in range(n_calls):
            sample_input = self.inputs[index % len(self.inputs)]
            text = f"{sample_input['text']} ({index})"
            nursery.start_soon(self._request, sample_input, text, index)
            await trio.sleep(INTERVAL_S)

    async def _request(self, sample_input, text, index):
        document = self.documents[sample_input["service"]]
        prefix = await self.address_book.key_prefix()
        key = "" if document.idempotent else f"{prefix}demo-{index}"
        n_sends = 1 if document.idempotent else 2
        async with trio.open_nursery() as nursery:
            for _ in range(n_sends):
                nursery.start_soon(self._send, document, sample_input, text, key)

    async def _send(self, document, sample_input, text, key):
        address = await self.address_book.choose()
        options = {"key": key} if key else {}
        call = await callers.call(
            self.deployment.transport,
            address,
            document.service,
            sample_input["organisation"],
            text,
            **options,
        )
        self._record_result(document, text, call)

    def _record_result(self, document, text, call):
        self.n_calls += 1
        service = document.service
        if call.whole:
            if not checks.is_own_answer(document, text, call.key, call.answer):
                self.n_misdelivered += 1
            self.n_late += call.elapsed_ms > document.deadline_ms
            self.metrics.observe_ms("end", call.elapsed_ms, service=service)
            if call.first_ms is not None:
                self.metrics.observe_ms("first", call.first_ms, service=service)
        elif call.outcome == "not_run":
            self.n_refused += 1
        else:
            self.n_lost += 1
            print("lost:", service, call.status, call.answer, flush=True)

    async def report(self):
        """Print results; return whether no call was doubled, lost or misdelivered."""
        records = []
        for pool in self.deployment.plan["pools"]:
            if pool["kind"] == "plain":
                records.extend(await self.deployment.runs(pool["name"]))
        n_doubled = checks.n_doubled(records)
        self._print_latencies()
        await self._print_stage_times()
        n_met = self.n_calls - self.n_refused - self.n_lost - self.n_late
        print(f"requests {self.n_calls}, deadlines met {n_met}", end=", ")
        print(f"refused (not run) {self.n_refused}, late {self.n_late}")
        print(f"doubled {n_doubled}, lost {self.n_lost}", end=", ")
        print(f"misdelivered {self.n_misdelivered}", flush=True)
        return not (n_doubled or self.n_lost or self.n_misdelivered)

    def _print_latencies(self):
        print(f"{'service':24}{'first token p50/p95/p99 ms':>30}{'end ms':>26}")
        for service in sorted(self.documents):
            first = self._quantiles("first", service)
            end = self._quantiles("end", service)
            print(f"{service:24}{first:>30}{end:>26}")

    def _quantiles(self, name, service):
        values = [
            self.metrics.quantile_ms(name, percent, service=service)
            for percent in (50, 95, 99)
        ]
        if values[0] is None:
            return "-"
        return " / ".join(f"{value:.0f}" for value in values)

    async def _print_stage_times(self):
        totals = {}
        for host in self.deployment.entry_hosts:
            result = await self.deployment.transport.call(
                "GET", host.callers, "/metrics", None, deployments.TIMEOUT_MS
            )
            if result.is_ok():
                _add_stage_times(result.ok.body.decode(), totals)
        stage_times = (f"{stage} {ms:.0f} ms" for stage, ms in sorted(totals.items()))
        print("server time by stage:", ", ".join(stage_times))


def _add_stage_times(text, totals):
    for line in text.splitlines():
        if line.startswith("teaselwall_stage_server_ms_total{"):
            stage = line.split('stage="', 1)[1].split('"', 1)[0]
            totals[stage] = totals.get(stage, 0) + float(line.rsplit(" ", 1)[1])


async def run(arguments):
    """Run the demo; return the exit status."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    deployment = deployments.Deployment(
        arguments.deployment,
        FOLDER,
        n_entry_hosts=N_ENTRY_HOSTS,
        overrides={"membership": {"answer_kept_ms": ANSWER_KEPT_MS}},
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, nursery.cancel_scope)
        status = await _run(arguments, deployment)
        nursery.cancel_scope.cancel()
        return status
    return EXIT_INTERRUPTED  # reached only if a signal has cancelled the nursery


async def _cancel_on_signal(cancel_scope):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            cancel_scope.cancel()
            return


async def _run(arguments, deployment):
    try:
        await deployment.start()
        if arguments.keep:
            _print_hints(deployment)
            await trio.sleep_forever()
        demo = Demo(deployment)
        await demo.run()
        is_correct = await demo.report()
        return 0 if is_correct else 1
    finally:
        await deployment.stop()


def _print_hints(deployment):
    host = deployment.entry_hosts[0]
    plan = deployment.plan
    for entry in deployment.entry_hosts:
        print(f"{entry.name}: callers {entry.callers}, control {entry.peers}")
    hosts = ",".join(entry.peers for entry in deployment.entry_hosts)
    print("\nTry:")
    print(f"  curl http://{host.callers}/v1/entry-hosts")
    print(f"  export TEASELWALL_HOSTS={hosts}")
    print(f"  export TEASELWALL_KEY={deployments.OPERATOR_KEY}")
    print("  teaselwall status")
    print(f"  teaselwall zone out {plan['data_centres'][0]}")
    print("Ctrl-C ends it.", flush=True)


def main():
    """Run the demo from the command line; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", default="directorate", choices=("directorate", "maldari")
    )
    parser.add_argument("--keep", action="store_true", help="leave all running")
    arguments = parser.parse_args()
    return trio.run(run, arguments)


if __name__ == "__main__":
    sys.exit(main())
