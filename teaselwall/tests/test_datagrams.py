import msgspec
import pytest

from teaselwall import datagrams, membership
from teaselwall.generated import messages
from teaselwall.tests import fakes, platform_entry

N_MEMBERS = 900


def member_row(index):
    address = f"10.0.{index // 200}.{index % 200}:9999"
    return messages.MemberRow(address, address, "dc", f"{index:018x}", index)


def test_view_above_the_datagram_limit_is_sent_in_readable_parts():
    """A data centre of hundreds of hosts has a view over one datagram's size."""
    rows = [member_row(index) for index in range(N_MEMBERS)]
    view = messages.Exchange(sender=rows[0], rows=rows, asks=True)
    parts = datagrams.encoded_parts(view)
    assert len(parts) > 1
    assert all(len(part) <= datagrams.MAX_DATAGRAM_BYTES for part in parts)
    decoded = [msgspec.json.decode(part, type=messages.Exchange) for part in parts]
    assert [row.nonce for part in decoded for row in part.rows] == [
        row.nonce for row in rows
    ]
    assert sum(part.asks for part in decoded) == 1


async def test_deeply_nested_datagram_ends_no_task(autojump_clock):
    """Decoding it raised RecursionError, which ended the process."""
    host = platform_entry.make_entry_host(platform_entry.BackEnds(), None)
    await host.gossip._process(b'{"zz":' + b"[" * 50_000)
    await host.gossip._process(b"\xff\xfe")


class Socket:
    """Datagram socket that checks ports as a real one does."""

    async def sendto(self, data, address):
        if not 0 <= address[1] < 2**16:
            raise OverflowError("port must be 0-65535.")


@pytest.mark.parametrize("address", ["nowhere", "10.0.0.2:x", "10.0.0.2:99999", ""])
async def test_datagram_from_an_unusable_address_ends_no_process(
    autojump_clock, address
):
    """The answer to one malformed datagram raised in the task that receives."""
    time = fakes.SteppedClock()
    view = membership.Membership(time, platform_entry.SETTINGS, "0" * 12)
    gossip = datagrams.DatagramGossip(time, view)
    gossip.socket = Socket()
    sender = messages.MemberRow(address, address, "a", "1" * 12, 0)
    exchange = messages.Exchange(sender=sender, asks=True)
    await gossip._process(msgspec.json.encode(exchange))
    await gossip._process(msgspec.json.encode(exchange))
