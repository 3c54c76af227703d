"""Names of what requests are suspected by: their content, and parts of their prompt."""

import itertools

import xxhash

# Ids of prompt parts come from callers; longer ones are shortened to a hash.
MAX_PART_CHARACTERS = 64
# Prompt parts of one request that are suspected; a head within its limit has fewer.
MAX_PARTS = 4096
CONTENT = "content"
PART = "part"


def content_suspect(pool, content):
    """Return the suspect for the whole content of a request, given its hash."""
    return f"{pool}/{CONTENT}/{content}"


def part_suspect(pool, part):
    """Return the suspect for a part of a prompt, given its id."""
    return f"{pool}/{PART}/{short(part)}"


def short(part):
    """Return the id of a prompt part, or a hash of it if it is long."""
    if len(part) <= MAX_PART_CHARACTERS:
        return part
    return xxhash.xxh3_64_hexdigest(part.encode())


def is_content(suspect):
    """Return whether a suspect is the whole content of a request."""
    return suspect.rpartition("/")[0].endswith(f"/{CONTENT}")


def pool_of(suspect):
    """Return the pool whose servers a suspect may end."""
    return suspect.rpartition("/")[0].rpartition("/")[0]


def suspects_of(head, body, pool, organisation):
    """Return the suspects of a request: its content, and the parts of its prompt.

    The last part is that of a session, which may send several requests.

    Parameters
    ----------
    head : protocols.RequestHead
    body : bytes
    pool : str
    organisation : str

    Returns
    -------
    tuple of str
    """
    hashed = xxhash.xxh3_64(body)
    for text in (head.method, head.host.encode(), head.target, organisation.encode()):
        hashed.update(b"\0" + text)
    content = content_suspect(pool, hashed.hexdigest())
    parts = itertools.islice(head.part_ids(), MAX_PARTS)
    return (content, *(part_suspect(pool, part) for part in parts))
