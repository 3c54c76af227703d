import msgspec

from teaselwall import datagrams
from teaselwall.generated import messages
from teaselwall.tests import platform_entry

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
