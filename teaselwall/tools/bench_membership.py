"""Benchmark of membership: its cost by number of members.

The members exchange their views by calls in memory, on trio's mock clock. The
processor time is that of the whole run divided by members and mock time, so it
includes encoding and decoding each message on both sides.
"""

import time

import expression
import msgspec
import trio
import trio.testing

from teaselwall import clock, errors, gossip, membership
from teaselwall.generated import settings as schema

N_MEMBERS = (8, 50, 150, 450)
HOSTS_PER_CENTRE = 15
MIN_CENTRES = 4
EXCHANGE_INTERVAL_MS = 3000
DEAD_AFTER_MS = 12000
SETTLE_S = 60
RUN_S = 60
HEADER_BYTES = 420
TARGET_BYTES_PER_S = 4000
TARGET_CPU_PERCENT = 3.2
MAX_DETECTION_S = 120


class Network:
    """Calls in memory between members; counts calls and bytes.

    Attributes
    ----------
    handlers : dict of str to callable
        Message handler of each running member, by address.
    """

    def __init__(self):
        self.handlers = {}
        self.n_calls = 0
        self.n_bytes = 0

    async def call(self, address, path, message, timeout_ms):
        """Pass a message to the member at an address; return its reply."""
        await trio.sleep(0.001)
        handler = self.handlers.get(address)
        if handler is None:
            return expression.Error(
                errors.Unavailable("No member listens at the address.")
            )
        raw = msgspec.json.encode(message)
        reply = msgspec.json.encode(await handler(msgspec.json.decode(raw)))
        self.n_calls += 1
        self.n_bytes += len(raw) + len(reply) + HEADER_BYTES
        return expression.Ok(msgspec.json.decode(reply))


def _settings(index, centre, seeds):
    return schema.Settings(
        host=schema.HostSettings(name=f"h{index}", data_centre=centre, region="r"),
        listen=schema.ListenSettings(
            callers=f"10.0.{index // 250}.{index % 250}:8100",
            peers=f"10.0.{index // 250}.{index % 250}:8101",
        ),
        platform=schema.PlatformSettings(log_service="-", host_list="-"),
        access=schema.AccessSettings(peer_key="p" * 16, operator_key="o" * 16),
        membership=schema.MembershipSettings(
            seeds=seeds,
            exchange_interval_ms=EXCHANGE_INTERVAL_MS,
            dead_after_ms=DEAD_AFTER_MS,
        ),
    )


def _hosts(n_members, network):
    n_centres = max(MIN_CENTRES, n_members // HOSTS_PER_CENTRE)
    seeds = [f"10.0.0.{index}:8101" for index in range(3)]
    for index in range(n_members):
        settings = _settings(index, f"dc-{index % n_centres}", seeds)
        nonce = f"{index * 2654435761 % 2**32:08x}"
        view = membership.Membership(clock.Clock(), settings, nonce)
        host = gossip.Gossip(view.clock, view, network, seed=index)
        network.handlers[view.me.address] = host.handle
        yield host


async def _run(n_members):
    network = Network()
    hosts = list(_hosts(n_members, network))
    async with trio.open_nursery() as nursery:
        scopes = {}
        for host in hosts:
            scopes[host] = trio.CancelScope()
            nursery.start_soon(_run_host, host, scopes[host])
        await trio.sleep(SETTLE_S)
        network.n_bytes = 0
        before_s = time.process_time()
        await trio.sleep(RUN_S)
        cpu_s = time.process_time() - before_s
        n_bytes = network.n_bytes
        death_s = await _measure_detection_s(network, hosts, scopes)
        nursery.cancel_scope.cancel()
    # Each byte counts twice: one host sends it and another receives it.
    bytes_per_s = 2 * n_bytes / n_members / RUN_S
    cpu_percent = 100 * cpu_s / n_members / RUN_S
    return bytes_per_s, cpu_percent, death_s


async def _run_host(host, scope):
    with scope:
        await host.run()


async def _measure_detection_s(network, hosts, scopes):
    """Kill the last host; return the s until its data centre has noticed.

    That is when no other host of the data centre lists it as a member. The wait
    ends after ``MAX_DETECTION_S``.
    """
    killed = hosts[-1].membership.me
    del network.handlers[killed.address]
    scopes[hosts[-1]].cancel()
    started_s = trio.current_time()
    neighbours = [
        host.membership
        for host in hosts[:-1]
        if host.membership.me.data_centre == killed.data_centre
    ]
    while any(view.is_member(killed.nonce) for view in neighbours):
        await trio.sleep(0.5)
        if trio.current_time() - started_s > MAX_DETECTION_S:
            break
    return trio.current_time() - started_s


def measure():
    """Return the figures by name as (value, unit, target)."""
    figures = {}
    for n_members in N_MEMBERS:
        mock_clock = trio.testing.MockClock(autojump_threshold=0)
        row = trio.run(_run, n_members, clock=mock_clock)
        bytes_per_s, cpu_percent, death_s = row
        name = f"membership_bytes_per_s_{n_members}"
        figures[name] = (bytes_per_s, "B/s", TARGET_BYTES_PER_S)
        name = f"membership_cpu_percent_{n_members}"
        figures[name] = (cpu_percent, "%", TARGET_CPU_PERCENT)
        figures[f"membership_death_seen_s_{n_members}"] = (death_s, "s", None)
    return figures


if __name__ == "__main__":
    for name, (value, unit, target) in measure().items():
        print(f"{name:40}{value:12.3f} {unit:6} target {target}")
