"""The list of weighted entry hosts that callers distribute their requests over."""

from teaselwall import members
from teaselwall.generated import messages

FREE_HOST_WEIGHT = 100
SAME_DATA_CENTRE_FACTOR = 4
MAX_ENTRY_HOSTS = 16


def answer(membership, state, max_requests, keep_ms, pools):
    """Return the entry hosts that a caller may use, with their weights.

    Parameters
    ----------
    membership : membership.Membership
    state : configuration.State
    max_requests : int
        Requests in flight at which an entry host is full.
    keep_ms : int
        How long the caller may cache the answer.
    pools : set of str
        Pools that have servers.

    Returns
    -------
    messages.AddressAnswer
        At most ``MAX_ENTRY_HOSTS`` entry hosts, the highest weight first. Draining
        hosts and hosts in data centres taken out of service are not listed, nor hosts
        that reach no server while others do. Callers choose among the hosts in
        proportion to the weights.
    """
    serving = [
        member
        for member in membership.alive()
        if not member.draining and member.data_centre not in state.data_centres_out
    ]
    hosts = [
        messages.EntryHost(
            address=member.callers,
            data_centre=member.data_centre,
            weight=_member_weight(member, membership.me.data_centre, max_requests),
        )
        for member in members.reaching(serving, pools)
    ]
    hosts.sort(key=lambda host: (-host.weight, host.address))
    return messages.AddressAnswer(
        entry_hosts=hosts[:MAX_ENTRY_HOSTS],
        keep_ms=keep_ms,
        key_prefix=f"{state.era}-",
    )


def _member_weight(member, data_centre, max_requests):
    """Return a weight that grows with a member's free capacity.

    It is ``SAME_DATA_CENTRE_FACTOR`` times as high in the data centre of this host,
    and at least 1.
    """
    free = 1 - min(1.0, member.n_requests / max_requests)
    factor = SAME_DATA_CENTRE_FACTOR if member.data_centre == data_centre else 1
    return max(1, round(FREE_HOST_WEIGHT * factor * free))
