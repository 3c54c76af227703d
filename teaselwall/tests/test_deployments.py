import pathlib
import socket

import pytest

from teaselwall.tools import deployments

RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def ports(n_ports):
    found = [deployments.free_address() for _ in range(n_ports)]
    return [int(address.rpartition(":")[2]) for address in found]


def test_no_port_is_given_twice():
    given = ports(200)
    assert len(set(given)) == len(given)


@pytest.mark.skipif(not RANGE.exists(), reason="the system does not tell its range")
def test_no_outgoing_connection_can_take_a_given_port():
    first, _ = map(int, RANGE.read_text().split())
    assert max(ports(200)) < first


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_in_use_is_not_free(kind):
    (port,) = ports(1)
    assert deployments._is_free(port)
    with socket.socket(type=kind) as holder:
        holder.bind((deployments.LOOPBACK, port))
        assert not deployments._is_free(port)
