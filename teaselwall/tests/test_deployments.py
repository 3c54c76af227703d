import pathlib
import socket

import pytest

from teaselwall.tools import deployments

PORT_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def free_ports(n_ports):
    addresses = [deployments.free_address() for _ in range(n_ports)]
    return [int(address.rpartition(":")[2]) for address in addresses]


def test_free_ports_are_distinct():
    allocated = free_ports(200)
    assert len(set(allocated)) == len(allocated)


@pytest.mark.skipif(not PORT_RANGE_FILE.exists(), reason="no ip_local_port_range file")
def test_free_ports_are_below_the_range_of_outgoing_connections():
    """Guards against an outgoing connection that takes a port before its server."""
    first_outgoing, _ = map(int, PORT_RANGE_FILE.read_text().split())
    assert max(free_ports(200)) < first_outgoing


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_port_in_use_is_not_free(kind):
    (port,) = free_ports(1)
    assert deployments._is_free(port)
    with socket.socket(type=kind) as holder:
        holder.bind((deployments.LOOPBACK, port))
        assert not deployments._is_free(port)
