"""Answers to the question which entry hosts a caller shall use."""

from teaselwall.generated import messages

FULL_WEIGHT = 100
NEAR_FACTOR = 4
MAX_ENTRY_HOSTS = 16


def answer(membership, state, max_requests, keep_ms):
    """Return the address answer.

    Parameters
    ----------
    membership : membership.Membership
    state : configuration.State
    max_requests : int
        Requests in flight at which an entry host is full.
    keep_ms : int
        How long the caller may keep the answer.

    Returns
    -------
    messages.AddressAnswer
        Members that neither drain nor stand in a data centre taken out, heaviest
        first. Callers choose among them in proportion to the weights.
    """
    hosts = [
        messages.EntryHost(
            address=member.callers,
            data_centre=member.data_centre,
            weight=_weight(member, membership.me.data_centre, max_requests),
        )
        for member in membership.alive()
        if not member.draining and member.data_centre not in state.data_centres_out
    ]
    hosts.sort(key=lambda host: (-host.weight, host.address))
    return messages.AddressAnswer(
        entry_hosts=hosts[:MAX_ENTRY_HOSTS],
        keep_ms=keep_ms,
        key_prefix=f"{state.era}-",
    )


def _weight(member, data_centre, max_requests):
    """Return a member's weight: its free part, more where it is near."""
    free = 1 - min(1.0, member.n_requests / max_requests)
    near = NEAR_FACTOR if member.data_centre == data_centre else 1
    return max(1, round(FULL_WEIGHT * near * free))
