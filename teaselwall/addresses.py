"""Answers to the question which entry hosts a caller shall use."""

from teaselwall.generated import messages

FULL_WEIGHT = 100


def answer(membership, state, keep_ms):
    """Return the address answer.

    Parameters
    ----------
    membership : membership.Membership
    state : configuration.State
    keep_ms : int
        How long the caller may keep the answer.

    Returns
    -------
    messages.AddressAnswer
        Members that neither drain nor stand in a data centre taken out.
    """
    hosts = [
        messages.EntryHost(
            address=member.callers,
            data_centre=member.data_centre,
            weight=max(1, FULL_WEIGHT - member.n_requests),
        )
        for member in membership.alive()
        if not member.draining and member.data_centre not in state.data_centres_out
    ]
    return messages.AddressAnswer(
        entry_hosts=hosts, keep_ms=keep_ms, key_prefix=f"{state.era}-"
    )
