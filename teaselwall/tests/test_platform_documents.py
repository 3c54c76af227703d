import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselwall import routes
from teaselwall.platform import documents, registrations

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/x/",
            "kind": "streaming",
            "timeoutMs": 6000,
            "targetLatencyMs": 1900,
            "priority": 1,
            "split": [
                {"service": "llm", "weight": 90},
                {"service": "other", "weight": 10},
            ],
            "maxAttempts": 2,
            "stages": [{"service": "enc", "after": [], "bytes": 8000}],
            "resumable": True,
            "gapAimMs": 500,
            "somethingNew": {"a": 1},
        },
        {
            "name": "r-2",
            "host": "a.example",
            "pathPrefix": "/y/",
            "kind": "unsafe",
            "timeoutMs": 2000,
            "service": "core",
            "resumable": True,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "llm",
            "maxConnections": 360,
            "coldStartS": 3.0,
            "coldPerS": 14.0,
            "engine": {"slots": 64, "kvTokens": 295433},
        },
        {
            "name": "enc",
            "pieces": {
                "slots": 1,
                "queue": 2,
                "batch": 5,
                "callMs": 200.0,
                "itemMs": 33.6,
                "roomMb": 11.25,
                "handleS": 4.0,
                "linkMbps": 10000,
            },
        },
    ],
    "tenants": [{"name": "o", "apiKeys": ["k1", "k2"], "priority": 0}],
}


def test_a_configuration_becomes_routes_pools_and_organisations():
    table = documents.read(json.dumps(CONFIG).encode()).ok.table()
    stream = table.find("a.example", "/x/1")
    assert (stream.kind, stream.resumable) == (routes.Kind.STREAM, True)
    assert stream.shares == (("llm", 90.0), ("other", 10.0))
    assert stream.stages == (routes.RouteStage("enc", (), 8000),)
    once = table.find("a.example", "/y/")
    assert once.kind is routes.Kind.ONCE
    assert not once.repeatable
    assert once.shares == (("core", 1.0),)
    assert table.pools["llm"].engine
    assert table.pools["llm"].n_places == 64
    assert table.pools["llm"].memory_tokens == 295433
    assert not table.pools["enc"].engine
    assert table.pools["llm"].cold_ms == 3000
    assert table.pools["enc"].batches.result_space_bytes == 11_250_000
    assert table.pools["enc"].batches.result_kept_ms == 4000
    assert table.organisations["k2"].priority == 0
    assert table.requires_keys


@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"[]", b'{"version": "x"}', json.dumps({}).encode()]
)
def test_an_unreadable_configuration_is_an_error_with_a_remedy(value):
    error = documents.read(value).error
    assert "last good one" in str(error)


ENTRY = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 120,
    "sequence": 4,
    "born": 17,
    "models": [],
}


def test_a_registration_record_is_decoded():
    found = registrations.read("i-1", json.dumps(ENTRY).encode()).ok
    assert found.incarnation == "i-1@17"
    assert (found.pool, found.data_centre, found.leaving) == ("llm", "z", False)
    assert found.cold_ms == 120


def test_a_draining_server_is_leaving():
    value = json.dumps(ENTRY | {"state": "draining"}).encode()
    assert registrations.read("i-1", value).ok.leaving


@pytest.mark.parametrize(
    ("fields", "software"),
    [({"version": "2.1"}, "2.1"), ({"version": ""}, ""), ({}, "")],
)
def test_servers_of_different_software_are_told_apart(fields, software):
    """Streams went on at servers whose software writes them differently."""
    without = {name: value for name, value in ENTRY.items() if name != "version"}
    found = registrations.read("i-1", json.dumps(without | fields).encode()).ok
    assert found.software == found.entry().software == software


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"address": "nowhere"},
        {"address": "10.0.0.9:0"},
        {"service": 3},
        {"sequence": "4"},
        {"coldRemainingMs": None},
        {"version": 7},
        {"version": None},
    ],
)
def test_a_malformed_registration_record_is_an_error(change):
    assert registrations.read("i-1", json.dumps(ENTRY | change).encode()).is_error()


@given(st.binary(max_size=60))
def test_no_bytes_of_a_registration_record_raise(value):
    assert registrations.read("i-1", value).is_error()


@pytest.mark.parametrize("slots", [None, "64", -1, 0, 1e300, [], float("nan")])
def test_an_engine_with_unreadable_counts_stays_an_engine(slots):
    engine = {"slots": slots, "kvTokens": slots}
    services = [CONFIG["services"][0] | {"engine": engine}]
    text = json.dumps(CONFIG | {"services": services}).replace("NaN", "null")
    pool = documents.read(text.encode()).ok.table().pools["llm"]
    assert pool.engine
    assert (pool.n_places, pool.memory_tokens) == (0, 0)
