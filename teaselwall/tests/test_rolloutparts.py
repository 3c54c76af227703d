"""Parts of roll-outs by themselves: gates, records, the store's condition, views."""

import json

import msgspec
import pytest
import trio

from teaselwall import (
    errors,
    httpcalls,
    keyedtopics,
    progress,
    protocols,
    requestattempts,
    rollout_commands,
    rolloutanswers,
    rolloutgates,
    rolloutorders,
    rolloutviews,
)
from teaselwall.generated import messages
from teaselwall.platform import rolloutrecords, store
from teaselwall.tests import platform_entry, rollout_fleet, scripted_transport
from teaselwall.tests.rollout_fleet import NEW, OLD

ORDER = rolloutorders.Order("core", NEW, 12_000.0)


def plan(**fields):
    given = {"pool": "core", "target": NEW, "order": ORDER.id, "state": "running"}
    return messages.RolloutPlan(**(given | {"step": 1} | fields))


@pytest.mark.parametrize(
    ("value", "duration_ms"),
    [
        (b'{"service":"core","target":"v2","durationS":12}', 12_000.0),
        (b'{"target":"v2","durationS":-1}', 0.0),
        (b'{"target":"v2","durationS":"12"}', 0.0),
        (b'{"target":"v2","durationS":true}', 0.0),
        (b'{"target":"v2"}', 0.0),
        (b'{"target":"v2","durationS":1e30}', 30 * 24 * 3_600_000.0),
        (b'{"target":"v2","durationS":1' + b"0" * 400 + b"}", 30 * 24 * 3_600_000.0),
    ],
)
def test_durations_that_are_none_count_as_0(value, duration_ms):
    """A target of such an order must not be taken for a version without one."""
    order = rolloutrecords.read("core", value).ok
    assert (order.target, order.duration_ms) == (NEW, duration_ms)


@pytest.mark.parametrize(
    "value",
    [
        b"[",
        b"{}",
        b'{"target":""}',
        b'{"target":3}',
        b'{"target":"' + b"v" * 70_000 + b'"}',
    ],
)
def test_orders_without_a_target_are_unreadable(value):
    assert rolloutrecords.read("core", value).is_error()
    assert rolloutrecords.pool_of("evacuate/a") is None


def test_status_has_the_fields_that_operators_read():
    key, value = rolloutrecords.status(plan(state="rolled_back", step=4))
    assert key == "rollout/core"
    assert json.loads(value) == {
        "service": "core",
        "target": NEW,
        "state": "rolled_back",
    }


@pytest.mark.parametrize(
    ("status", "body", "end", "error"),
    [
        (200, b'{"offset":6,"end":7}', 7, None),
        (412, b'{"end":9}', None, keyedtopics.ChangedMeanwhile),
        (503, b"", None, Exception),
        (200, b"{}", None, Exception),
    ],
)
async def test_a_conditional_write_names_the_end_of_the_topic(
    autojump_clock, status, body, end, error
):
    replies = scripted_transport.ScriptedTransport(httpcalls.Reply(status, {}, body))
    result = await store.HttpStore(replies, "10.0.0.1:1", 100).put("t", "k", b"v", 6)
    assert b"at=6" in replies.calls[0][1]
    assert result.default_value(None) == end
    assert error is None or isinstance(result.error, error)


def test_all_hosts_draw_a_request_alike_and_as_often_as_the_share_says():
    gates = [rolloutgates.Gate(ORDER, plan(share=0.25)) for _ in range(2)]
    drawn = [[g.draws_target(f"r{n}", 0.0) for n in range(4000)] for g in gates]
    assert drawn[0] == drawn[1]
    # Five standard deviations of 4,000 draws at 0.25.
    assert abs(sum(drawn[0]) - 1000) < 140


@pytest.mark.parametrize(
    ("order", "newest", "refused"),
    [
        (ORDER, None, set()),
        (ORDER, plan(state="rolled_back"), {NEW}),
        (None, plan(), {NEW}),
        (rolloutorders.Order("core", "v3", 1.0), plan(), {NEW}),
        (rolloutorders.Order("core", NEW, 1.0), plan(state="rolled_back"), set()),
        (None, plan(state="completed", old=[OLD]), set()),
    ],
)
def test_versions_that_an_ended_order_leaves_nothing(order, newest, refused):
    gate = rolloutgates.Gate(order, newest)
    assert gate.refused == refused
    assert not gate.share


async def test_settings_without_bounds_leave_all_parts_out(autojump_clock):
    host = platform_entry.make_entry_host(platform_entry.BackEnds(), None)
    assert host.rollout_parts is None
    assert host.server_choices.rollouts is None
    assert set(host.shared_reads.followers) == {"keyed.op", "keyed.servers"}


async def test_requests_in_hand_over_and_streams_keep_to_their_side(
    autojump_clock, nursery
):
    fleet = await rollout_fleet.started(nursery, n_hosts=2, per_s=0)
    fleet.order()
    await trio.sleep(1)
    fleet.add_servers(NEW, 3)
    await trio.sleep(2)
    share = fleet.plans()[-1]["share"]
    assert 0 < share < 1
    first, second = (host.rollout_parts.rollouts for host in fleet.hosts.values())
    servers = next(iter(fleet.hosts.values())).fleet.serving("core")
    n_target = 0
    for number in range(300):
        sides = first.sides("core", f"r{number}")
        accepted = [{s.software for s in servers if side(s)} for side in sides]
        assert accepted in ([{OLD}], [{NEW}, {OLD}])
        assert len(second.sides("core", f"r{number}")) == len(sides)
        n_target += len(sides) == 2
    assert 0 < n_target < 150


async def test_a_stage_pool_shares_its_calls_by_their_pieces(autojump_clock, nursery):
    fleet = await rollout_fleet.started(nursery, n_hosts=1, per_s=0)
    for version in (OLD, NEW):
        fleet.add_servers(version, 2, pool="enc")
    await trio.sleep(1)
    (host,) = fleet.hosts.values()
    known = host.rollout_parts.rollouts
    fleet.order(pool="enc")
    await trio.sleep(1)
    pool = "enc"
    assert {s.software for s in host.stage_work.servers_of(pool)} == {OLD}
    known.plans.adopt(plan(pool=pool, share=0.2, step=90))
    n_pieces = {OLD: 0, NEW: 0}
    for _ in range(100):
        servers = host.stage_work.servers_of(pool)
        server = min(servers, key=lambda s: s.software != NEW)
        n_pieces[server.software] += 5
        known.record_pieces(server, 5)
    # One call more than its share at most.
    assert 0 < n_pieces[NEW] <= 0.2 * 500 + 5


async def test_a_stream_of_a_version_that_gets_nothing_is_refused_as_not_run(
    autojump_clock, nursery
):
    fleet = await rollout_fleet.started(nursery, n_hosts=1, per_s=0)
    fleet.order()
    await trio.sleep(0.5)
    fleet.add_servers(NEW, 1)
    await trio.sleep(1)
    (host,) = fleet.hosts.values()

    class BoundCall:
        pool = host.operator_state.pool("core")
        software = NEW

    assert host.stream_versions.refusal(BoundCall) is None
    host.rollout_parts.rollouts.plans.adopt(plan(state="rolled_back", step=90))
    assert host.stream_versions.refusal(BoundCall).outcome.value == "not_run"


async def test_an_ordered_version_gets_nothing_before_the_order_is_read(
    autojump_clock, nursery
):
    """Guards against a version taken for one without an order, as a read is late."""
    fleet = await rollout_fleet.started(nursery, n_hosts=1)
    (host,) = fleet.hosts.values()
    orders_read = host.shared_reads.store.changes

    async def hold_orders(topic, *args):
        if topic == rollout_fleet.ORDERS:
            await trio.sleep_forever()
        return await orders_read(topic, *args)

    host.shared_reads.store.changes = hold_orders
    await trio.sleep(1)
    fleet.order()
    fleet.add_servers(NEW, 3)
    await trio.sleep(6)
    assert {s.software for s in host.fleet.serving("core")} == {OLD, NEW}
    assert not fleet.back_ends.n_sent(NEW)


async def test_reports_of_hosts_are_summed_once_and_bounded(autojump_clock, nursery):
    fleet = await rollout_fleet.started(nursery, n_hosts=2, per_s=0)
    fleet.order()
    await trio.sleep(1)
    host = next(iter(fleet.hosts.values()))
    parts = host.rollout_parts
    (server, *_) = host.fleet.serving("core")
    for number in range(1000):
        parts.rollouts.record(server, f"route{number}", number % 10 == 0, 20.0)
    report = parts.reports.report("core")
    assert len(msgspec.json.encode(report)) < 4000
    for _ in range(3):
        parts.reports.take("10.9.9.9:1", "n9", report)
    rows = parts.reports.summed("core", ORDER.id).rows.values()
    assert sum(row.n_answers for row in rows) == 1000


async def test_operators_see_why_a_roll_out_was_taken_back(autojump_clock, nursery):
    fleet = await rollout_fleet.started(nursery)
    fleet.back_ends.n_bad_of[NEW] = 2
    fleet.order()
    await trio.sleep(0.5)
    fleet.add_servers(NEW, 3)
    await trio.sleep(11)
    leader = fleet.hosts[fleet.leader()]
    handler = leader.control.handlers[rolloutviews.PATH]
    listing = msgspec.json.decode(
        msgspec.json.encode(await handler({})), type=messages.RolloutListing
    )
    text = "\n".join(rollout_commands.listing_lines(listing))
    assert f"core to {NEW}: rolled_back" in text
    assert "failing" in text
    (view,) = listing.rollouts
    bad = {row.software: row.n_bad for row in view.rows}
    assert bad[NEW] > 0
    assert bad[OLD] == 0


async def test_plans_are_not_read_while_no_roll_out_runs(autojump_clock, nursery):
    """Each call to the platform's store costs, on days without roll-outs, too."""
    fleet = await rollout_fleet.started(nursery, n_hosts=1, per_s=0)
    (host,) = fleet.hosts.values()
    read = host.shared_reads.store.changes
    topics = []

    async def record(topic, *args):
        topics.append(topic)
        return await read(topic, *args)

    host.shared_reads.store.changes = record
    await trio.sleep(60)
    assert rollout_fleet.PLANS not in topics
    n_before = len(topics)
    fleet.order()
    await trio.sleep(3)
    assert topics[n_before:].count(rollout_fleet.PLANS) >= 3
    assert not host.shared_reads.avoided_until_ms
    assert host.rollout_parts.rollouts.is_in_touch()


class Answers:
    """Takes the answers that are counted."""

    def __init__(self):
        self.counted = []

    def record(self, server, route, is_bad, latency_ms):
        self.counted.append((is_bad, latency_ms))


def bad_answer(status):
    reply = protocols.ReplyHead(status, True, False, False, None, ())
    return requestattempts.BadAnswer(reply, b"", "", errors.Outcome.RAN)


UNKNOWN = errors.Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("error", "waited_s", "counted"),
    [
        (None, 0.05, [(False, 50.0)]),
        (bad_answer(500), 0.05, [(True, 50.0)]),
        (bad_answer(404), 0.05, [(False, 50.0)]),
        (errors.ConnectionBroken("reset", outcome=UNKNOWN), 0.05, [(True, 50.0)]),
        (errors.ServerFailed("full", outcome=errors.Outcome.NOT_RUN), 0.05, []),
        (errors.DeadlineExceeded("late", outcome=UNKNOWN), 0.05, []),
        (errors.DeadlineExceeded("late", outcome=UNKNOWN), 1.0, [(True, 1000.0)]),
    ],
)
async def test_answers_that_show_nothing_of_the_software_are_not_counted(
    autojump_clock, error, waited_s, counted
):
    """Guards against a version found bad for refusals or callers in a hurry."""
    host = platform_entry.make_entry_host(platform_entry.BackEnds(), None)
    routes = host.operator_state.table.by_host["a.example"]
    (route,) = [r for r in routes if r.name == "safe"]

    class Call:
        pass

    Call.route = route
    received = progress.AttemptProgress(host.clock)
    await trio.sleep(waited_s)
    if error is None or isinstance(error, requestattempts.BadAnswer):
        received.record_head()
    answers = Answers()
    rolloutanswers.record_attempt(answers, Call, None, error, received)
    assert [(bad, round(ms, 3)) for bad, ms in answers.counted] == counted
