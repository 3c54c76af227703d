"""Reaching every entry host by way of one delegate in each other data centre."""

import msgspec
import trio

from teaselwall.generated import messages

NO_ANSWER = -1


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
    """Visit every member of the own data centre at once.

    Parameters
    ----------
    membership : membership.Membership
    visit : callable
        ``await visit(member)`` returns the member's version, or ``NO_ANSWER``.

    Returns
    -------
    list of messages.HostStatus
    """
    found = []

    async def note(member):
        found.append(status(member, await visit(member)))

    async with trio.open_nursery() as nursery:
        for member in membership.neighbours():
            nursery.start_soon(note, member)
    return found


async def ask_remote(membership, peers, path, message, timeout_ms):
    """Ask one delegate of each other data centre for what ``visit_local`` gives there.

    Delegates are tried in turn; where none answers, each is listed so.

    Returns
    -------
    list of messages.HostStatus
    """
    centres = {}
    for member in membership.remote_delegates():
        centres.setdefault(member.data_centre, []).append(member)
    found = []

    async def visit(delegates):
        for delegate in delegates:
            result = await peers.call(delegate.address, path, message, timeout_ms)
            if result.is_ok():
                reply = msgspec.convert(result.ok, messages.HostsInForce)
                found.extend(reply.hosts)
                return
        found.extend(status(delegate, NO_ANSWER) for delegate in delegates)

    async with trio.open_nursery() as nursery:
        for delegates in centres.values():
            nursery.start_soon(visit, delegates)
    return found
