"""Addresses of the soak's processes, kept from other programs."""

import socket


def reserve(address):
    """Return a socket that keeps others off an address but does not listen."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    host, _, port = address.rpartition(":")
    try:
        reserved.bind((host, int(port)))
    except OSError:
        reserved.close()
        return None
    return reserved
