"""Requests that one entry host hands over to another."""

import expression
import pytest
import trio

from teaselwall import calls, handovers, keyedtopics, streamversions
from teaselwall.platform import heads
from teaselwall.tests import cut_fleet, platform_entry

KNOWN_S = 1.5


@pytest.fixture
async def world(autojump_clock, nursery):
    """Return three hosts, of which the first has no path to any server and knows it."""
    made = cut_fleet.World(nursery)
    await made.start(3)
    made.cuts.append(cut_fleet.Cut({"10.0.0.1:4"}, set(made.servers), "refuse"))
    await send(made, "/safe/1", "first")
    await trio.sleep(KNOWN_S)
    made.arrivals.clear()
    return made


async def send(world, path, request="r1", caller=None, address="10.0.0.1:1"):
    """Send a request to the host without a path; return its caller."""
    caller = caller or platform_entry.Caller(
        path,
        Request_Id=request,
        Prompt_Prefix="a:100,b:50",
        Pieces="2",
        Piece_Key="k",
    )
    with platform_entry.cut_answers_allowed():
        await caller.send_request(world.applications[address])
    return caller


@pytest.mark.parametrize("path", ["/safe/1", "/once/1", "/stream/1", "/staged/1"])
async def test_request_is_answered_by_a_host_with_a_path(autojump_clock, world, path):
    """Requests to a host without a path failed, whatever the others could do."""
    caller = await send(world, path)
    assert (caller.status, caller.ended) == (200, True)
    ((server, _, host),) = world.arrivals
    assert host != "10.0.0.1:4"
    assert caller.headers[b"Server-Stamp"] == server.encode()


async def test_request_is_answered_by_a_stopping_host_if_no_other_has_a_path(
    autojump_clock, world
):
    """All requests were refused while the only host with a path was stopping."""
    world.cuts.append(cut_fleet.Cut({"10.0.0.2:4"}, set(world.servers), "refuse"))
    await send(world, "/safe/1", "second", address="10.0.0.2:1")
    stopping = world.hosts["10.0.0.3:4"]
    stopping.stop_admission.open_requests.begin_stop(6000.0, 3000.0)
    for host in world.hosts.values():
        for member in host.membership.alive():
            if member.address == "10.0.0.3:4":
                member.draining = True
    world.arrivals.clear()
    caller = await send(world, "/safe/1")
    assert (caller.status, caller.ended) == (200, True)
    assert {host for _, _, host in world.arrivals} == {"10.0.0.3:4"}


async def test_request_runs_once_where_the_answer_between_the_hosts_is_lost(
    autojump_clock, world
):
    """The caller must not be told that it has not run, and nobody may run it again."""
    world.loses_answers = True
    caller = await send(world, "/once/1")
    assert caller.status == 502
    assert len(world.arrivals) == 1


async def test_repeatable_request_runs_at_most_as_often_as_its_route_allows(
    autojump_clock, world
):
    """Attempts of all hosts count together."""
    world.loses_answers = True
    caller = await send(world, "/safe/1")
    assert caller.status == 502
    assert len(world.arrivals) == 2


async def test_events_of_a_stream_are_passed_on_as_they_come(autojump_clock, world):
    """A relay that collects the answer makes each event late."""
    caller = platform_entry.Caller("/stream/1", Prompt_Prefix="a:100,b:50")
    times_s = []
    pass_on = caller.send

    async def record(message):
        times_s.append(trio.current_time())
        await pass_on(message)

    caller.send = record
    await send(world, "", caller=caller)
    assert times_s[-1] - times_s[1] > (cut_fleet.N_EVENTS - 2) * cut_fleet.EVENT_S


async def test_caller_that_leaves_ends_the_request_at_both_hosts(
    autojump_clock, nursery, world
):
    """The other host went on working for nobody."""
    caller = platform_entry.Caller("/stream/1", Prompt_Prefix="a:100,b:50")
    nursery.start_soon(send, world, "", "r1", caller)
    await trio.sleep(0.07)
    assert len(world.arrivals) == 1
    caller.disconnected.set()
    await trio.sleep(0.05)
    assert [a.n_in_flight for a in gateways(world)] == [0, 0, 0]


def gateways(world):
    return [world.applications[f"10.0.0.{n}:1"] for n in (1, 2, 3)]


async def test_begun_stream_goes_on_at_a_host_with_a_path(autojump_clock, world):
    """A stream whose engine was lost on the way was cut for good."""
    world.cuts[0].servers = set()
    await trio.sleep(2.0)
    caller = platform_entry.Caller("/resumed/1", Prompt_Prefix="a:100,b:50")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, world, "", "r1", caller)
        await trio.sleep(0.05 + 1.5 * cut_fleet.EVENT_S)
        world.cuts[0] = cut_fleet.Cut({"10.0.0.1:4"}, set(world.servers), "reset")
    numbers = range(1, cut_fleet.N_EVENTS + 1)
    assert b"".join(caller.parts) == b"".join(
        b"id: %d\ndata: x\n\n" % n for n in numbers
    )
    assert caller.ended
    assert [host for _, _, host in world.arrivals][0] == "10.0.0.1:4"


@pytest.mark.parametrize(
    ("headers", "resumed"),
    [
        ({"Last_Event_Id": "1", "Resumes": "r0"}, "r0"),
        ({"Last_Event_Id": "1"}, ""),
        ({}, ""),
    ],
)
async def test_stream_that_its_caller_resumes_keeps_its_origin(
    autojump_clock, world, monkeypatch, headers, resumed
):
    """The next host looked for the origin under the id of the request itself."""
    handed = []
    pass_on = heads.UsersProtocol.handover_headers

    def record(protocol, head, change):
        handed.append(change)
        return pass_on(protocol, head, change)

    async def allow(versions, call):
        return expression.Ok(None)

    monkeypatch.setattr(heads.UsersProtocol, "handover_headers", record)
    monkeypatch.setattr(streamversions.StreamVersions, "bind_resumption", allow)
    await send(world, "", caller=platform_entry.Caller("/resumed/1", **headers))
    assert {change.resumed for change in handed} == {resumed}
    assert {c.last_event for c in handed} == {headers.get("Last_Event_Id", "")}


@pytest.mark.parametrize("leaves", [False, True])
async def test_stream_that_began_at_another_host_goes_on_here_at_its_version(
    autojump_clock, world, leaves
):
    """A host did not know the version of the server that another one had chosen."""
    engines = [a for a, pool in world.servers.items() if pool == "llm"]
    world.versions = dict(zip(engines, "111222", strict=True))
    list_versions(world, "1")
    await trio.sleep(KNOWN_S)
    caller = platform_entry.Caller("/resumed/1", Prompt_Prefix="a:100,b:50")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, world, "", "", caller)
        await trio.sleep(0.05 + 1.5 * cut_fleet.EVENT_S)
        list_versions(world, "2" if leaves else "12")
        world.dead = set(world.hosts) - {"10.0.0.1:4"}
        world.cuts.clear()
    text = b"".join(caller.parts)
    n_expected = 1 if leaves else cut_fleet.N_EVENTS
    assert (text.count(b"data: 1"), text.count(b"data: 2")) == (n_expected, 0)
    assert caller.ended is not leaves


async def test_handed_over_take_up_goes_to_the_version_that_began_the_stream(
    autojump_clock, world
):
    """The host that took a take-up over sent it to servers of any version."""
    engines = [a for a, pool in world.servers.items() if pool == "llm"]
    world.versions = dict(zip(engines, "111222", strict=True))
    for number in range(6):
        version = "12"[number % 2]
        list_versions(world, version)
        parts = {"Prompt_Prefix": "a:100,b:50"}
        begun = platform_entry.Caller("/resumed/1", Request_Id=f"r{number}", **parts)
        await send(world, "", caller=begun, address="10.0.0.2:1")
        assert b"data: " + version.encode() in begun.parts[0]
        list_versions(world, "12")
        for named in (f"r{number}", f"lost{number}"):
            world.arrivals.clear()
            caller = platform_entry.Caller(
                "/resumed/1",
                Request_Id=f"{named}-again",
                Last_Event_Id="1",
                Resumes=named,
                **parts,
            )
            await send(world, "", caller=caller)
            called = {
                (world.versions[server], host) for server, _, host in world.arrivals
            }
            if named.startswith("lost"):
                assert (caller.status, called) == (503, set())
            else:
                ((called_version, host),) = called
                assert (caller.status, called_version) == (200, version)
                assert host != "10.0.0.1:4"


def list_versions(world, versions):
    """Have all hosts know the engines of some software versions only."""
    sequence = 2 + round(trio.current_time() * 1000)
    for host in world.hosts.values():
        for key, value in world.registrations(sequence=sequence).items():
            version = world.versions.get(key.removeprefix("i-"), "")
            is_listed = not version or version in versions
            host.server_registry.apply(
                keyedtopics.Record(key, value if is_listed else None)
            )


async def test_begun_stream_waits_for_a_path_where_no_host_has_one(
    autojump_clock, world
):
    """It was cut at once where all hosts had lost their paths for a second."""
    world.cuts[0].servers = set()
    await trio.sleep(2.0)
    caller = platform_entry.Caller("/resumed/1", Prompt_Prefix="a:100,b:50")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, world, "", "r1", caller)
        await trio.sleep(0.05 + 1.5 * cut_fleet.EVENT_S)
        everywhere = cut_fleet.Cut(set(world.hosts), set(world.servers), "reset")
        world.cuts[0] = everywhere
        await trio.sleep(0.8)
        world.cuts.clear()
    numbers = range(1, cut_fleet.N_EVENTS + 1)
    assert b"".join(caller.parts) == b"".join(
        b"id: %d\ndata: x\n\n" % n for n in numbers
    )
    assert caller.ended


async def test_request_may_have_been_handed_over_any_number_of_times(
    autojump_clock, world, monkeypatch
):
    """A host refused the seventeenth hand-over of a request as malformed."""
    init = calls.Call.__init__

    def init_with_handovers(call, *args, **options):
        init(call, *args, **options)
        call.n_handovers = 40

    monkeypatch.setattr(calls.Call, "__init__", init_with_handovers)
    caller = await send(world, "/stream/1")
    assert (caller.status, caller.ended) == (200, True)


async def test_request_takes_one_hop_between_hosts_that_take_each_other_for_sound(
    autojump_clock, world
):
    """Two hosts without a path could hand a request to each other for ever."""
    world.cuts.append(cut_fleet.Cut(set(world.hosts), set(world.servers), "refuse"))
    for host in world.hosts.values():
        for member in host.membership.alive():
            member.unreachable = []
    before_s = trio.current_time()
    caller = await send(world, "/once/1")
    assert caller.status == 503
    assert float(caller.headers[b"retry-after"]) > 0
    assert world.arrivals == []
    assert trio.current_time() - before_s < 1.0


async def test_request_at_a_paused_host_is_not_said_not_to_have_run(
    autojump_clock, world
):
    """The host may go on later with what it was handed."""
    world.paused.update(["10.0.0.2:4", "10.0.0.3:4"])
    caller = await send(world, "/once/1")
    assert caller.status == 504
    assert world.arrivals == []


@pytest.mark.parametrize("key", ["x" * 16, "", "é"])
async def test_request_with_a_wrong_peer_key_is_not_taken_over(
    autojump_clock, world, key
):
    """Only hosts may say how often a request has run."""
    caller = platform_entry.Caller("/once/1")
    message = b'{"peer_key":"%s","sender":"x:1"}' % key.encode()
    caller.scope["headers"].append((handovers.HEADER, message))
    await send(world, "", caller=caller, address="10.0.0.2:4")
    assert caller.status == 403
    assert world.arrivals == []


async def test_callers_header_of_a_handover_means_nothing(autojump_clock, world):
    """A caller could have its request count as one that has run."""
    caller = platform_entry.Caller("/once/1")
    message = b'{"peer_key":"%s","sender":"x:1","n_ran":1}' % (b"p" * 16)
    caller.scope["headers"].append((handovers.HEADER, message))
    await send(world, "", caller=caller, address="10.0.0.2:1")
    assert (caller.status, len(world.arrivals)) == (200, 1)


async def test_request_bound_to_regions_stays_there(autojump_clock, world, monkeypatch):
    """Its body must not be sent to a host elsewhere."""
    monkeypatch.setattr(calls.Call, "regions", lambda call: {"r"})
    world.hosts["10.0.0.1:4"].handovers.region_of = {"a": "r", "b": "r", "c": "q"}
    for host in world.hosts.values():
        host.server_choices.region_of = dict.fromkeys("abc", "r")
    for number in range(8):
        assert (await send(world, "/once/1", f"b{number}")).status == 200
    assert {h for _, _, h in world.arrivals} == {"10.0.0.2:4"}


async def test_header_of_a_servers_own_reply_is_no_refusal_of_a_host(
    autojump_clock, world, monkeypatch
):
    """A request that had run was sent again, as its answer looked like a refusal."""
    init = cut_fleet.ServerReply.__init__

    def fail(self, *arguments):
        init(self, *arguments)
        self.status = 500
        self.headers.append((handovers.REFUSED_HEADER, b"1"))

    monkeypatch.setattr(cut_fleet.ServerReply, "__init__", fail)
    caller = await send(world, "/once/1")
    assert (caller.status, len(world.arrivals)) == (500, 1)
