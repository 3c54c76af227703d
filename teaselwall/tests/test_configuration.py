import expression
import msgspec
import pytest

from teaselwall import changes, configuration, errors, publications, snapshots
from teaselwall.generated import messages
from teaselwall.generated import service as schema
from teaselwall.tests import fakes, races


@pytest.fixture
def state():
    result = configuration.State()
    take(result, changes.service(races.document(), 0, "first"))
    return result


def take(state, change, time_ms=0):
    state.apply(state.version, changes.record(change), time_ms)
    return state.verdict(change)


def test_late_order_loses_to_a_newer_decision(state):
    order = changes.data_centre("tuz-a", True, state.version, "ayse")
    assert state.apply_emergency_order(order)
    assert state.data_centres_out == {"tuz-a"}
    opposite = changes.data_centre("tuz-a", False, state.version, "deniz")
    assert take(state, opposite).accepted
    assert state.data_centres_out == set()
    verdict = take(state, order)
    assert not verdict.accepted
    assert verdict.author == "deniz"
    assert not state.apply_emergency_order(order)


def test_order_never_brings_a_data_centre_in(state):
    take(state, changes.data_centre("tuz-a", True, state.version, "ayse"))
    order = changes.data_centre("tuz-a", False, state.version, "deniz")
    assert not state.apply_emergency_order(order)
    assert state.data_centres_out == {"tuz-a"}


def test_change_based_on_a_version_to_come_is_void(state):
    change = changes.data_centre("tuz-a", True, state.version + 5, "ayse")
    assert not take(state, change).accepted


def test_organisations_change_side_by_side_but_not_over_a_new_document(state):
    base = state.version
    kiosks = schema.Organisation(name="gate-kiosks", share=7)
    managers = schema.Organisation(name="site-managers", share=9)
    first = changes.organisations("visitor-answers", [kiosks], base, "ayse")
    second = changes.organisations("visitor-answers", [managers], base, "deniz")
    assert take(state, first).accepted
    assert take(state, second).accepted
    shares = {o.name: o.share for o in state.services["visitor-answers"].organisations}
    assert shares == {"gate-kiosks": 7, "site-managers": 9}
    assert not take(state, changes.service(races.document(), base, "ece")).accepted


def test_forgotten_return_does_not_let_a_late_record_in(state, monkeypatch):
    monkeypatch.setattr(configuration, "MAX_REVERTED_ENTRIES", 2)
    late = changes.data_centre("tuz-a", True, state.version, "ayse")
    for name in ("tuz-a", "tuz-b", "tuz-c", "tuz-d"):
        take(state, changes.data_centre(name, True, state.version, "deniz"))
        take(state, changes.data_centre(name, False, state.version, "deniz"))
    assert ("data_centre", "tuz-a") not in state.entries
    assert not take(state, late).accepted
    copy = configuration.State()
    assert copy.restore(snapshots.decode(snapshots.encode(state)))
    assert copy.entries == state.entries
    assert copy.floor == state.floor


def test_restart_counts_only_at_the_offset_that_it_names(state):
    for end, wanted in ((state.version + 1, 1), (state.version + 1, 0)):
        record = messages.ConfigurationRestart(
            kind="restart",
            end=end,
            change="restart",
            author="ayse",
            text=snapshots.encode(configuration.State()),
        )
        state.apply(state.version, msgspec.to_builtins(record))
        assert len(state.services) == wanted


def test_document_that_cannot_be_read_is_not_passed_on(state):
    change = changes.service(races.document(), state.version, "ayse")
    change.content["added_later"] = True
    assert take(state, change).accepted
    assert state.services["visitor-answers"] == races.document()
    assert snapshots.encode(state) == ""


def test_records_of_other_kinds_are_passed_over(state):
    before = dict(state.entries)
    for data in (None, 5, [], {"kind": "later"}, {"kind": "era", "subject": "era"}):
        state.apply(state.version, data)
    assert state.entries == before


async def test_writer_of_an_unknown_append_finds_its_record_first(
    nursery, autojump_clock
):
    cluster = races.Cluster(0)
    await cluster.open(nursery)
    host = races.Host(cluster, "host-that-follows-by-itself-only")
    await host.follower.step()
    cluster.log.n_lose_replies = 1
    change = changes.data_centre("tuz-a", True, host.state.version, "ayse")
    result = await host.publisher.publish(change, publications.PUBLISH_TIMEOUT_MS)
    assert result.ok.accepted
    assert cluster.log.n_appends == 2


async def test_pages_over_the_size_limit_are_read_in_smaller_ones(
    nursery, autojump_clock
):
    cluster = races.Cluster(1)
    await cluster.open(nursery)
    log = LogLimitedToTwoRecords(nursery)
    host = races.Host(cluster, "host-alone")
    host.follower.log = log
    for base in range(9):
        change = changes.data_centre("tuz-a", True, base, "ayse")
        await log.append(configuration.STREAM, changes.record(change), 100)
    for _ in range(12):
        await host.follower.step()
    assert host.state.version == log.stream(configuration.STREAM).end


class LogLimitedToTwoRecords(fakes.FakeLog):
    """A log that fails a read with more than two records, as a reply too large."""

    async def read(self, stream, offset, limit, timeout_ms, wait_ms=0):
        page = await super().read(stream, offset, limit, timeout_ms, wait_ms)
        if len(page.ok.records) > 2:
            return expression.Error(errors.TransportError("Over the size limit."))
        return page
