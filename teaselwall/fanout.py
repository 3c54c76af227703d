"""Fan-out to all entry hosts, through a delegate in each other data centre."""

import trio

from teaselwall import errors
from teaselwall.generated import messages

NO_ANSWER = -1  # version listed for a host that did not answer or refused


def status(member, version):
    """Return the ``messages.HostStatus`` of a member."""
    return messages.HostStatus(
        address=member.address,
        callers=member.callers,
        data_centre=member.data_centre,
        draining=member.draining,
        n_requests=member.n_requests,
        version=version,
    )


async def visit_local(membership, visit):
    """Visit all members of this host's data centre concurrently.

    Parameters
    ----------
    membership : membership.Membership
    visit : callable
        ``await visit(member)`` returns the member's version, or ``NO_ANSWER``.

    Returns
    -------
    list of messages.HostStatus
    """
    statuses = []

    async def visit_member(member):
        statuses.append(status(member, await visit(member)))

    async with trio.open_nursery() as nursery:
        for member in membership.neighbours():
            nursery.start_soon(visit_member, member)
    return statuses


async def ask_remote(membership, peers, path, message, timeout_ms):
    """Ask a delegate in each other data centre for the statuses of the hosts there.

    The delegates of a data centre are tried in turn. If none answers, each of them is
    listed with ``NO_ANSWER``.

    Returns
    -------
    list of messages.HostStatus
    """
    by_data_centre = {}
    for member in membership.remote_delegates():
        by_data_centre.setdefault(member.data_centre, []).append(member)
    statuses = []

    async def visit(delegates):
        for delegate in delegates:
            result = await peers.call(delegate.address, path, message, timeout_ms)
            result = result.bind(
                lambda reply: errors.convert(reply, messages.HostsInForce, "peer")
            )
            if result.is_ok():
                statuses.extend(result.ok.hosts)
                return
        statuses.extend(status(delegate, NO_ANSWER) for delegate in delegates)

    async with trio.open_nursery() as nursery:
        for delegates in by_data_centre.values():
            nursery.start_soon(visit, delegates)
    return statuses
