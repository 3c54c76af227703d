"""Snapshots of a partition: its claims, written again before the log drops them."""

SNAPSHOTS_PER_RETENTION = 4
MIN_SNAPSHOT_ENTRIES = 2000  # entries read since the last snapshot
MAX_RECORD_BYTES = 128 * 1024
MAX_RECORD_ENTRIES = 500
ENTRY_RECORD_BYTES = 400  # approximate size of an entry without a result


def is_due(partition, retention_ms):
    """Return whether a new snapshot is due, by age or by entries since the last.

    Parameters
    ----------
    partition : partitions.Partition
    retention_ms : float
        Time for which the log keeps a record.
    """
    if partition.position == 0:
        return False
    age_ms = partition.log_ms - partition.snapshot_ms
    if age_ms > retention_ms / SNAPSHOTS_PER_RETENTION:
        return True
    return partition.n_since_snapshot > MIN_SNAPSHOT_ENTRIES + 2 * len(partition.claims)


async def write_snapshot(owner):
    """Write a snapshot in several records, with batches of claims in between.

    Each record holds the state of its keys when it is appended, so that batches may
    be written between two records of a snapshot.

    Parameters
    ----------
    owner : owners.Owner

    Returns
    -------
    bool
        Whether the snapshot is complete; False means that the epoch has ended.
    """
    partition = owner.partition
    keys = list(partition.claims)
    started = None
    while keys or started is None:
        if owner.queue and not await owner.write_batch():
            return False
        if not await owner.commit("snapshot", _next_entries(partition, keys)):
            return False
        if started is None:
            started = partition.number_offset, partition.log_ms
            partition.n_since_snapshot = 0
    partition.snapshot, partition.snapshot_ms = started
    return True


def _next_entries(partition, keys):
    entries = []
    n_bytes = 0
    while keys and len(entries) < MAX_RECORD_ENTRIES and n_bytes < MAX_RECORD_BYTES:
        entry = partition.claims.get(keys.pop())
        if entry is not None:
            entries.append(entry)
            n_bytes += record_bytes(entry)
    return entries


def record_bytes(entry):
    """Estimate the bytes of an entry in a record, including escapes in its result."""
    return ENTRY_RECORD_BYTES + 2 * len(entry.result)
