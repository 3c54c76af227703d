"""Writing the live claims of a partition again before the log drops them."""

RETENTION_SHARE = 4
MIN_TAIL_ENTRIES = 2000
MAX_RECORD_BYTES = 128 * 1024
MAX_RECORD_ENTRIES = 500
ENTRY_BYTES = 400


def due(partition, retention_ms):
    """Return whether the live claims shall be written again.

    Parameters
    ----------
    partition : partitions.Partition
    retention_ms : float
        Time that the log keeps a record.
    """
    if partition.position == 0:
        return False
    age_ms = partition.log_ms - partition.snapshot_ms
    if age_ms > retention_ms / RETENTION_SHARE:
        return True
    return partition.n_since_snapshot > MIN_TAIL_ENTRIES + 2 * len(partition.claims)


async def write(owner):
    """Write a snapshot, record by record, with waiting claims in between.

    A record holds its keys as they stand when it is appended, so that batches
    may come between two of them.

    Parameters
    ----------
    owner : owners.Owner

    Returns
    -------
    bool
        Whether the snapshot is whole; False means that the epoch has ended.
    """
    partition = owner.partition
    keys = list(partition.claims)
    started = None
    while keys or started is None:
        if owner.queue and not await owner.write_batch():
            return False
        if not await owner.commit("snapshot", _take(partition, keys)):
            return False
        if started is None:
            started = partition.number_offset, partition.log_ms
            partition.n_since_snapshot = 0
    partition.snapshot, partition.snapshot_ms = started
    return True


def _take(partition, keys):
    entries = []
    n_bytes = 0
    while keys and len(entries) < MAX_RECORD_ENTRIES and n_bytes < MAX_RECORD_BYTES:
        entry = partition.claims.get(keys.pop())
        if entry is not None:
            entries.append(entry)
            n_bytes += size(entry)
    return entries


def size(entry):
    """Return about how many bytes an entry takes in a record, escapes included."""
    return ENTRY_BYTES + 2 * len(entry.result)
