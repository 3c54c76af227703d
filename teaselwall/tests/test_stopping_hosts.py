"""What callers of a stopping entry host are answered."""

import random
import types

import msgspec
import pytest
import trio

from teaselwall import answertimes, entrydaemon, gateway, stopadmission, stops
from teaselwall.tests import cut_fleet, fakes, platform_entry

LIMIT_S = 0.93 * 4
STREAM = platform_entry.Script(body=[b"id: 1\ndata: a\n\n"])


class Gossip:
    async def announce(self, leaving=False):
        await trio.sleep(0)


class StoppingHost:
    """An entry host whose stop ends ``LIMIT_S`` after ``request``.

    Attributes
    ----------
    ended_s : float or None
        When the stop had ended, from its request.
    """

    def __init__(self, host):
        self.host = host
        self.application = gateway.Gateway(host)
        settings = msgspec.structs.replace(
            host.settings,
            stop=types.SimpleNamespace(limit_ms=4000),
        )
        host.settings = settings
        host.gossip = Gossip()
        self.stop = entrydaemon.make_stop(host, self.application)
        self.ended_s = None

    async def run(self):
        self.stop.request()
        started_s = trio.current_time()
        await self.stop.run()
        self.ended_s = trio.current_time() - started_s

    def begin(self, since_s=0.0):
        """Begin a stop, as one that was requested a while ago."""
        self.stop.limit_ms -= 1000 * since_s
        membership = self.stop.settings.membership
        kept_ms = membership.answer_kept_ms - 1000 * since_s
        membership = types.SimpleNamespace(answer_kept_ms=kept_ms)
        self.stop.settings = types.SimpleNamespace(membership=membership)
        self.stop.request()

    def record_answers(self, path, elapsed_s):
        """Have the host remember answers on the route of a path."""
        for _ in range(answertimes.N_NEEDED):
            self.host.stop_admission.answer_times.record(
                path.split("/")[1], 1000 * elapsed_s
            )

    async def send(self, path, deadline="8000", **headers):
        """Send a request; return its caller, also if its answer is cut."""
        caller = platform_entry.Caller(path, Deadline_Ms=deadline, **headers)
        with platform_entry.cut_answers_allowed():
            await caller.send_request(self.application)
        return caller


@pytest.fixture
def config(monkeypatch):
    """Give the routes time beyond the end of the stop."""
    routes = [
        route | {"timeoutMs": 8000, "targetLatencyMs": 2000}
        for route in platform_entry.CONFIG["routes"]
    ]
    return platform_entry.CONFIG | {"routes": routes, "version": 2}


@pytest.fixture
async def stopping(autojump_clock, host, config):
    table = {"config": msgspec.json.encode(config)}
    host.operator_state.replace(table)
    return StoppingHost(host)


def slow_stages(host):
    host.stage_work.sender.client.slowdown["10.0.3.1:80"] = 1000.0


def no_engine(host):
    """Take all engines out of service."""
    servers = {"e1": platform_entry.registration("enc", address="10.0.3.1:80")}
    host.server_registry.replace(servers)


@pytest.mark.parametrize("sent_s", [-1.0, 0.0, 1.0, 1.2])
async def test_request_that_waits_for_its_stages_is_refused_before_the_stop_ends(
    autojump_clock, nursery, stopping, back_ends, sent_s
):
    """Callers whose requests waited at the stop's limit were cut without an answer."""
    slow_stages(stopping.host)
    nursery.start_soon(_run_stop_after, stopping, max(0.0, -sent_s))
    await trio.sleep(max(0.0, sent_s))
    caller = await stopping.send("/staged/1", Pieces="2", Piece_Key="k")
    assert caller.status == 503
    assert caller.ended
    assert float(caller.headers[b"retry-after"]) > 0
    assert not back_ends.calls
    await trio.sleep(4)
    assert stopping.stop.n_cut == 0
    assert stopping.ended_s <= LIMIT_S


async def _run_stop_after(stopping, pause_s):
    await trio.sleep(pause_s)
    await stopping.run()


@pytest.mark.parametrize(
    ("path", "script", "status"),
    [
        ("/once/1", platform_entry.Script(head_s=9.0), 504),
        ("/safe/1", platform_entry.Script(head_s=9.0), 504),
        ("/stream/1", platform_entry.Script(head_s=9.0), 504),
    ],
)
async def test_request_without_a_reply_is_answered_before_the_stop_ends(
    autojump_clock, nursery, stopping, back_ends, path, script, status
):
    """Callers whose requests were at a server were cut without an answer.

    A server has the request, so the answer must not say that it has not run.
    """
    back_ends.scripts = [script] * 9
    nursery.start_soon(stopping.run)
    caller = await stopping.send(path)
    assert caller.status == status
    assert caller.ended
    await trio.sleep(4)
    assert stopping.stop.n_cut == 0


async def test_second_request_to_stop_answers_what_can_be_refused(
    autojump_clock, nursery, stopping, back_ends
):
    """An operator's second interrupt cut all requests without an answer."""
    slow_stages(stopping.host)
    callers = []

    async def send():
        callers.append(await stopping.send("/staged/1", Pieces="2", Piece_Key="k"))

    nursery.start_soon(send)
    nursery.start_soon(stopping.run)
    await trio.sleep(0.5)
    stopping.stop.request()
    await trio.sleep(stops.FORCED_FLUSH_MS / 1000 + 0.05)
    assert [caller.status for caller in callers] == [503]
    assert stopping.ended_s < 0.8
    assert stopping.stop.n_cut == 0


@pytest.mark.parametrize(
    ("since_s", "deadline_s", "known_s", "is_taken"),
    [
        (0.5, 8.0, None, True),
        (1.1, 8.0, None, False),
        (3.0, 8.0, None, False),
        (3.0, 0.4, None, True),
        (0.5, 8.0, 1.0, True),
        (3.0, 8.0, 0.2, True),
        (3.0, 8.0, 0.3, False),
        (0.5, 8.0, 3.5, False),
        (3.0, 8.0, 1.0, False),
        (3.6, 8.0, 0.1, False),
    ],
)
@pytest.mark.parametrize("path", ["/stream/1", "/once/1", "/safe/1"])
async def test_stopping_host_takes_only_what_it_can_finish(
    autojump_clock, stopping, back_ends, path, since_s, deadline_s, known_s, is_taken
):
    """A host that was about to end took long streams and cut them.

    The stop ends 3.52 s after it was requested; callers know of it after 0.9 s.
    """
    if known_s is not None:
        stopping.record_answers(path, known_s)
    if path == "/stream/1":
        back_ends.scripts = [STREAM]
    stopping.begin(since_s)
    deadline = str(round(1000 * deadline_s))
    started_s = trio.current_time()
    caller = await stopping.send(path, deadline)
    assert caller.status == (200 if is_taken else 503)
    assert len(back_ends.calls) == is_taken
    assert trio.current_time() - started_s < 0.1


async def test_stages_that_outlast_the_stop_are_refused_at_once(
    autojump_clock, nursery, stopping, back_ends
):
    """A refusal that can be told on arrival must not come when the stop ends."""
    stopping.record_answers("/staged/1", 0.3)
    limits = stopping.host.operator_state.pool("enc").batches
    n_jobs = 40
    jobs_s = n_jobs * limits.expected_ms(4) / 1000
    assert jobs_s < 1.5
    ended = {}
    back_ends.scripts = [STREAM] * n_jobs

    async def send(number):
        started_s = trio.current_time()
        headers = {"Request_Id": f"r{number}", "Pieces": "4", "Piece_Key": "k"}
        caller = await stopping.send("/staged/1", **headers)
        ended[number] = (caller.status, trio.current_time() - started_s)

    for number in range(n_jobs):
        nursery.start_soon(send, number)
    await trio.sleep(0.02)
    stopping.begin(3.52 - 0.3 - 0.5 * jobs_s)
    nursery.start_soon(send, n_jobs)
    await trio.sleep(0.02)
    status, elapsed_s = ended.pop(n_jobs)
    assert status == 429
    assert elapsed_s < 0.02
    await trio.sleep(4.0)
    assert {status for status, _ in ended.values()} == {200, 503}
    assert len(ended) == n_jobs


async def test_request_whose_stages_end_too_late_is_not_sent_on(
    autojump_clock, nursery, stopping, back_ends
):
    """A stream was sent to an engine moments before its host ended."""
    stopping.record_answers("/staged/1", 2.0)
    stopping.host.stage_work.sender.client.slowdown["10.0.3.1:80"] = 100.0
    nursery.start_soon(stopping.run)
    caller = await stopping.send("/staged/1", Pieces="2", Piece_Key="k")
    assert caller.status == 503
    assert not back_ends.calls


@pytest.mark.parametrize(
    ("other", "expected_ms"),
    [
        ("serving", stopadmission.RETRY_AFTER_MS),
        ("draining", stopadmission.DRAINING_MS),
        ("none", 520 + stopadmission.RESTART_MS),
    ],
)
async def test_refused_caller_returns_to_another_host_or_the_next_process(
    autojump_clock, stopping, other, expected_ms
):
    """Callers of the only host came back while it was still stopping."""
    if other != "none":
        is_draining = other == "draining"
        other = fakes.member("10.0.0.9:4")
        other.draining = is_draining
        members = stopping.host.membership.members_by_nonce
        members[other.nonce] = other
    stopping.begin(3.0)
    caller = await stopping.send("/stream/1")
    after_ms = 1000 * float(caller.headers[b"retry-after"])
    assert after_ms == pytest.approx(expected_ms, abs=2)


async def test_request_handed_to_a_stopping_host_goes_to_another_one(
    autojump_clock, nursery
):
    """Callers were refused for the stop of a host that they did not know."""
    world = cut_fleet.World(nursery)
    await world.start(3)
    world.cuts.append(cut_fleet.Cut({"10.0.0.1:4"}, set(world.servers), "refuse"))
    application = world.applications["10.0.0.1:1"]
    await platform_entry.Caller("/safe/0", Request_Id="r0").send_request(application)
    await trio.sleep(1.5)
    world.hosts["10.0.0.2:4"].stop_admission.open_requests.begin_stop(0.0, 0.0)
    world.arrivals.clear()
    for number in range(20):
        caller = platform_entry.Caller("/safe/1", Request_Id=f"s{number}")
        await caller.send_request(application)
        assert caller.status == 200
    assert {host for _, _, host in world.arrivals} == {"10.0.0.3:4"}


def drawn_script(draw, path):
    """Return an answer that takes a tenth to a whole second."""
    elapsed_s = draw.uniform(0.1, 1.0)
    if path != "/stream/1":
        return platform_entry.Script(head_s=elapsed_s)
    events = [b"id: %d\ndata: a\n\n" % number for number in range(4)]
    body = [part for event in events for part in (event, elapsed_s / 4)]
    return platform_entry.Script(body=body)


@pytest.mark.parametrize("seed", range(10))
async def test_calm_stop_cuts_no_request_whenever_it_comes(
    autojump_clock, nursery, stopping, back_ends, seed
):
    """Requests that came late in a stop were taken, passed on and cut at its end."""
    draw = random.Random(seed)
    paths = ["/stream/1", "/once/1", "/safe/1"]
    for path in paths:
        for _ in range(answertimes.N_KEPT):
            elapsed_ms = 1000 * draw.uniform(0.1, 1.0)
            stopping.host.stop_admission.answer_times.record(
                path.split("/")[1], elapsed_ms
            )
    callers = {}

    async def send(number, at_s):
        await trio.sleep(at_s)
        path = draw.choice(paths)
        # Taken at once, before any other request is sent.
        back_ends.scripts = [drawn_script(draw, path)]
        deadline = draw.choice(["1500", "4000", "8000"])
        request = f"r{number}"
        callers[request] = await stopping.send(path, deadline, Request_Id=request)

    async with trio.open_nursery() as sending:
        for number in range(120):
            sending.start_soon(send, number, draw.uniform(0.0, 1.0 + LIMIT_S))
        nursery.start_soon(_run_stop_after, stopping, 1.0)
    await trio.sleep(1)
    assert stopping.stop.n_cut == 0
    assert not {
        (r, c.scope["path"], c.status) for r, c in callers.items() if not c.ended
    }
    sent = {headers[b"request-id"].decode() for _, headers in back_ends.calls}
    not_run = {r for r, caller in callers.items() if caller.status in (429, 503)}
    assert not sent & not_run
    assert {r for r, caller in callers.items() if caller.status == 200} <= sent
    assert len(sent) > 60
