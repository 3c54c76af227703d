import expression
import msgspec
import pytest

from teaselwall import (
    coldstarts,
    errors,
    fleet,
    operatorstate,
    protocols,
    removalgrace,
    routes,
    serverregistry,
    storeoutages,
)
from teaselwall.tests import fakes

COLD_POOL = routes.Pool("llm", 100, 3000.0, 14.0, None, True)


def registration(key, **fields):
    given = {
        "id": key,
        "started_ms": 1,
        "address": f"10.0.0.{len(key)}:80",
        "pool": "llm",
        "data_centre": "a",
        "leaving": False,
        "cold_ms": 0.0,
        "sequence": 1,
    }
    return serverregistry.Registration(**(given | fields))


def encoded(key, **fields):
    return msgspec.json.encode(registration(key, **fields))


def decode(key, value):
    try:
        return expression.Ok(
            msgspec.json.decode(value, type=serverregistry.Registration)
        )
    except msgspec.DecodeError as error:
        return expression.Error(errors.Error(str(error)))


class Record:
    def __init__(self, key, value):
        self.key = key
        self.value = value


@pytest.fixture
def time():
    return fakes.SteppedClock()


@pytest.fixture
def cold_starts(time):
    return coldstarts.ColdStarts(time, fakes.View("me"), lambda name: COLD_POOL)


@pytest.fixture
def server_fleet(time):
    state = operatorstate.OperatorState(None, None, "config")
    return fleet.Fleet(time, None, state, 0, 0)


@pytest.fixture
def registry(time, server_fleet, cold_starts):
    return serverregistry.ServerRegistry(time, server_fleet, decode, cold_starts)


def addresses(server_fleet):
    return sorted(server.address for server in server_fleet.choices("llm"))


def test_a_server_that_reports_leaving_gets_no_calls_at_once(registry, server_fleet):
    registry.replace({"s": encoded("s"), "ss": encoded("ss")})
    assert addresses(server_fleet) == ["10.0.0.1:80", "10.0.0.2:80"]
    registry.apply(Record("s", encoded("s", leaving=True, sequence=2)))
    assert addresses(server_fleet) == ["10.0.0.2:80"]


def test_a_removed_registration_is_applied_at_once_without_an_outage(
    registry, server_fleet
):
    registry.replace({"s": encoded("s")})
    registry.apply(Record("s", None))
    assert addresses(server_fleet) == []


def test_registrations_missing_after_an_outage_are_kept_for_the_grace_period(
    registry, server_fleet, time
):
    registry.replace({"s": encoded("s"), "ss": encoded("ss")})
    registry.record_recovery(storeoutages.Outage(5000.0))
    registry.replace({})
    assert len(addresses(server_fleet)) == 2
    registry.apply(Record("ss", encoded("ss", sequence=5)))
    time.at_ms = removalgrace.REMOVAL_GRACE_MS + 1
    registry.remove_missing(time.at_ms)
    assert addresses(server_fleet) == ["10.0.0.2:80"]


def test_an_unreadable_registration_keeps_the_last_good_one(registry, server_fleet):
    registry.replace({"s": encoded("s"), "x": b"\xff{"})
    registry.apply(Record("s", b"[]"))
    assert addresses(server_fleet) == ["10.0.0.1:80"]


def test_an_old_process_does_not_replace_a_newer_one(registry, server_fleet):
    registry.replace({"s": encoded("s", started_ms=9)})
    registry.apply(Record("s", encoded("s", started_ms=5, leaving=True, sequence=50)))
    assert addresses(server_fleet) == ["10.0.0.1:80"]
    registry.apply(Record("s", encoded("s", started_ms=9, leaving=True, sequence=0)))
    assert addresses(server_fleet) == ["10.0.0.1:80"]


def test_the_newest_process_at_an_address_is_used(registry, server_fleet):
    registry.replace(
        {
            "old": encoded("old", address="10.0.0.9:80", started_ms=1),
            "new": encoded("new", address="10.0.0.9:80", started_ms=2, pool="other"),
        }
    )
    assert addresses(server_fleet) == []
    assert [s.incarnation for s in server_fleet.choices("other")] == ["new@2"]


@pytest.mark.parametrize("n_hosts", [1, 2, 6, 9, 14, 15, 60, 300])
def test_all_hosts_together_keep_to_the_rate_of_a_cold_server(n_hosts, time):
    names = [f"10.1.0.{n}:1" for n in range(n_hosts)]
    server_fleet = fleet.Fleet(
        time, None, operatorstate.OperatorState(None, None, ""), 0, 0
    )
    first = serverregistry.ServerRegistry(
        time, server_fleet, decode, coldstarts.ColdStarts(time, None, lambda name: None)
    )
    first.replace({"s": encoded("s")})
    (server,) = server_fleet.choices("llm")
    n_sent = 0
    for name in names:
        view = fakes.View(name)
        view.members = {other: fakes.member(other) for other in names}
        view.me = view.members[name]
        cold = coldstarts.ColdStarts(time, view, lambda name: COLD_POOL)
        cold.record(registration("s", cold_ms=2000))
        while cold.has_capacity(server):
            cold.record_sent(server)
            n_sent += 1
    assert 1 <= n_sent <= COLD_POOL.cold_rate


@pytest.mark.parametrize("sizes", [(15, 15, 15, 15), (1, 2, 3, 4), (30, 1), (1, 1, 1)])
def test_hosts_with_partial_views_keep_to_the_rate_of_a_cold_server(
    sizes, server_fleet, registry, time
):
    registry.replace({"s": encoded("s")})
    (server,) = server_fleet.choices("llm")
    centres = {f"dc{n}": size for n, size in enumerate(sizes)}
    n_sent = 0
    for centre, size in centres.items():
        names = [f"{centre}-{n}:1" for n in range(size)]
        for name in names:
            view = fakes.View(name, centre)
            view.members |= {
                other: fakes.member(other, centre) for other in names if other != name
            }
            for other, n_others in centres.items():
                if other == centre:
                    continue
                seen = [f"{other}-{n}:1" for n in range(min(3, n_others))]
                view.members |= {s: fakes.member(s, other) for s in seen}
                view.hidden[other] = n_others - len(seen)
            cold = coldstarts.ColdStarts(time, view, lambda name: COLD_POOL)
            cold.record(registration("s", cold_ms=2000))
            while cold.has_capacity(server):
                cold.record_sent(server)
                n_sent += 1
    assert 1 <= n_sent <= COLD_POOL.cold_rate


def test_a_warm_server_has_no_rate_limit(cold_starts, registry, server_fleet, time):
    registry.replace({"s": encoded("s", cold_ms=1000)})
    (server,) = server_fleet.choices("llm")
    assert cold_starts.is_cold(server)
    time.at_ms = 1000 + coldstarts.LISTING_LAG_MS
    for _ in range(100):
        assert cold_starts.has_capacity(server)
        cold_starts.record_sent(server)


def test_an_older_copy_of_a_record_does_not_bring_a_server_back(registry, server_fleet):
    """A store restored from a copy shows servers that have left since as ready."""
    registry.replace({"s": encoded("s", sequence=5)})
    registry.apply(Record("s", encoded("s", sequence=6, leaving=True)))
    registry.apply(Record("s", None))
    registry.restore({"s": encoded("s", sequence=5)})
    assert not addresses(server_fleet)
    registry.apply(Record("s", encoded("s", sequence=7)))
    assert addresses(server_fleet) == ["10.0.0.1:80"]


def test_servers_missing_from_a_restored_store_stay_until_it_is_read_again(
    registry, server_fleet
):
    registry.replace({"s": encoded("s"), "ss": encoded("ss")})
    registry.restore({"s": encoded("s")})
    assert len(addresses(server_fleet)) == 2
    registry.replace({"s": encoded("s")})
    assert addresses(server_fleet) == ["10.0.0.1:80"]


def test_a_server_that_says_that_it_leaves_gets_no_calls_whatever_the_store_says(
    registry, server_fleet
):
    registry.replace({"s": encoded("s"), "ss": encoded("ss")})
    (server,) = [s for s in server_fleet.choices("llm") if s.address == "10.0.0.1:80"]
    server_fleet.record_notice(server, protocols.Notice(leaving=True), 0.0)
    registry.apply(Record("s", encoded("s", sequence=2)))
    assert addresses(server_fleet) == ["10.0.0.2:80"]
    registry.replace({"s": encoded("s", sequence=3), "ss": encoded("ss")})
    assert addresses(server_fleet) == ["10.0.0.2:80"]
    registry.apply(Record("s", encoded("s", sequence=1, started_ms=9)))
    assert len(addresses(server_fleet)) == 2


def test_a_server_that_wants_rest_gets_no_calls_until_its_end(
    registry, server_fleet, time
):
    registry.replace({"s": encoded("s")})
    (server,) = server_fleet.choices("llm")
    server_fleet.record_notice(server, protocols.Notice(rest_ms=700.0), 0.0)
    server_fleet.record_notice(server, protocols.Notice(rest_ms=100.0), 0.0)
    assert not addresses(server_fleet)
    assert server_fleet.rest_ms("llm") == 700.0
    time.at_ms += 701.0
    assert addresses(server_fleet) == ["10.0.0.1:80"]
    assert server_fleet.rest_ms("llm") == 0.0


def test_the_log_tells_a_missing_registration_from_an_outdated_one(
    registry, time, caplog
):
    """Guards against a server in use without a line that says why."""
    caplog.set_level("INFO")
    registry.replace({"s": encoded("s", sequence=4)})
    registry.record_recovery(storeoutages.Outage(5000.0))
    time.at_ms = 500.0
    registry.apply(Record("s", None))
    registry.replace({})
    registry.apply(Record("s", encoded("s", sequence=3)))
    lines = [(r.getMessage(), r.fields) for r in caplog.records]
    missing = [fields for event, fields in lines if event == "server_missing"]
    outdated = [fields for event, fields in lines if event == "registration_outdated"]
    assert [(f["id"], f["leaving"], f["grace_ms"]) for f in missing] == [
        ("s", False, 1500)
    ]
    assert [(f["sequence"], f["is_listed"]) for f in outdated] == [(3, True)]
