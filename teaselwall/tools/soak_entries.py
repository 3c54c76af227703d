"""Entries of another writer among the servers' registrations of the soak."""

import json

NESTED = "[" * 50_000 + "]" * 50_000
NUMBER_NAMES = ("sequence", "born", "coldRemainingMs", "slots")
NUMBERS = ("1" + "0" * 400, "1e400", "-1", "1e308", "1" + "0" * 9000, "null")
ADDRESSES = ("127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:9e9", ":80", "127.0.0.1")
# Nothing listens there.
UNUSED_ADDRESS = "127.0.0.1:9"
# A service that no configuration has, and the start of a process later than any.
UNKNOWN_SERVICE = "nowhere"
LATEST_START_MS = 1 << 52


def draw(source, address):
    """Return the value of an entry that names no server to use.

    Parameters
    ----------
    source : random.Random
    address : str
        Address of a server, which some entries name as well.

    Returns
    -------
    bytes
    """
    entry = {
        "service": "plain",
        "address": source.choice(ADDRESSES),
        "zone": "z1",
        "version": "v1",
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1,
    }
    kind = source.choice(("address", "number", "nested", "bytes", "hides"))
    if kind == "number":
        name = source.choice(NUMBER_NAMES)
        entry.pop(name, None)
        entry["address"] = UNUSED_ADDRESS
        text = json.dumps(entry)[:-1] + f', "{name}": {source.choice(NUMBERS)}}}'
        return text.encode()
    if kind == "nested":
        return f'{json.dumps(entry)[:-1]}, "models": {NESTED}}}'.encode()
    if kind == "bytes":
        return source.randbytes(20)
    if kind == "hides":
        entry |= {"service": UNKNOWN_SERVICE, "born": LATEST_START_MS}
        entry["address"] = address
    return json.dumps(entry).encode()
