import expression
import msgspec
import pytest

from teaselwall import coldstarts, errors, fleet, operatorstate, routes, serverregistry
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
def pool(time):
    state = operatorstate.OperatorState(None, None, "config")
    return fleet.Fleet(time, None, state, 0, 0)


@pytest.fixture
def listing(time, pool, cold_starts):
    return serverregistry.ServerRegistry(time, pool, decode, cold_starts)


def addresses(pool):
    return sorted(server.address for server in pool.choices("llm"))


def test_a_leaving_server_gets_nothing_from_its_first_word_on(listing, pool):
    listing.replace({"s": encoded("s"), "ss": encoded("ss")})
    assert addresses(pool) == ["10.0.0.1:80", "10.0.0.2:80"]
    listing.apply(Record("s", encoded("s", leaving=True, sequence=2)))
    assert addresses(pool) == ["10.0.0.2:80"]


def test_a_removed_registration_counts_at_once_in_calm(listing, pool):
    listing.replace({"s": encoded("s")})
    listing.apply(Record("s", None))
    assert addresses(pool) == []


def test_what_lapsed_in_an_outage_is_kept_until_the_servers_are_back(
    listing, pool, time
):
    listing.replace({"s": encoded("s"), "ss": encoded("ss")})
    listing.record_recovery(0.0)
    listing.replace({})
    assert len(addresses(pool)) == 2
    listing.apply(Record("ss", encoded("ss", sequence=5)))
    time.at_ms = serverregistry.REMOVAL_GRACE_MS + 1
    listing.expire()
    assert addresses(pool) == ["10.0.0.2:80"]


def test_an_unreadable_registration_leaves_the_last_good_one(listing, pool):
    listing.replace({"s": encoded("s"), "x": b"\xff{"})
    listing.apply(Record("s", b"[]"))
    assert addresses(pool) == ["10.0.0.1:80"]


def test_an_old_process_does_not_replace_a_newer_one(listing, pool):
    listing.replace({"s": encoded("s", started_ms=9)})
    listing.apply(Record("s", encoded("s", started_ms=5, leaving=True, sequence=50)))
    assert addresses(pool) == ["10.0.0.1:80"]
    listing.apply(Record("s", encoded("s", started_ms=9, leaving=True, sequence=0)))
    assert addresses(pool) == ["10.0.0.1:80"]


def test_the_newest_process_holds_an_address(listing, pool):
    listing.replace(
        {
            "old": encoded("old", address="10.0.0.9:80", started_ms=1),
            "new": encoded("new", address="10.0.0.9:80", started_ms=2, pool="other"),
        }
    )
    assert addresses(pool) == []
    assert [s.incarnation for s in pool.choices("other")] == ["new@2"]


@pytest.mark.parametrize("n_hosts", [1, 2, 6, 9, 14, 15, 60, 300])
def test_all_hosts_together_keep_to_what_a_cold_server_bears(n_hosts, time):
    names = [f"10.1.0.{n}:1" for n in range(n_hosts)]
    pool_state = fleet.Fleet(
        time, None, operatorstate.OperatorState(None, None, ""), 0, 0
    )
    first = serverregistry.ServerRegistry(
        time, pool_state, decode, coldstarts.ColdStarts(time, None, lambda name: None)
    )
    first.replace({"s": encoded("s")})
    (server,) = pool_state.choices("llm")
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
def test_cold_servers_bear_hosts_that_know_few_of_each_other(
    sizes, pool, listing, time
):
    listing.replace({"s": encoded("s")})
    (server,) = pool.choices("llm")
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


def test_a_warm_server_gets_whatever_is_sent(cold_starts, listing, pool, time):
    listing.replace({"s": encoded("s", cold_ms=1000)})
    (server,) = pool.choices("llm")
    assert cold_starts.is_cold(server)
    time.at_ms = 1000 + coldstarts.LISTING_LAG_MS
    for _ in range(100):
        assert cold_starts.has_capacity(server)
        cold_starts.record_sent(server)
