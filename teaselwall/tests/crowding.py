"""The machine and the limits of entry hosts that are met by crowds of clients.

A test checks that the process lives, that its memory and descriptors stay within the
machine that it stands for, and that an ordinary request is answered: beside the crowd
and after it. Nothing depends on the speed of the machine that runs the test.
"""

from teaselwall.tools import crowd_hosts, crowds

# The machine that the host stands for.
MACHINE_MB = 100
N_DESCRIPTORS = 4100
LIMITS = {
    "platform": {"max_request_bytes": 10_000_000},
    "own": {"max_request_bytes": 10_000_000},
}
HOSTS = {"platform": crowd_hosts.PlatformHost, "own": crowd_hosts.OwnHost}
# A machine with few descriptors, of which the host needs some for its own calls.
FEW_DESCRIPTORS = 300
MAX_OPEN = 270
# Descriptors of the process that runs the tests.
N_NEEDED = 8192


def make_host(folder, interface, n_descriptors):
    """Return an entry host of an interface, which does not run yet."""
    return HOSTS[interface](folder, LIMITS[interface], n_descriptors)


async def withstands(host, scripts, port="callers", stubborn=False, answers=False):
    """Assert that a host stays sound beside a crowd and after it.

    Parameters
    ----------
    host : crowd_hosts.CrowdHost
    scripts : list of (iterable of bytes)
        What the members send.
    port : str
    stubborn : bool
        Whether the members come again and again.
    answers : bool
        Whether the host answers the members and closes their connections.
    """
    async with crowds.gathered(host.addresses[port], scripts, stubborn) as crowd:
        if answers:
            await crowd.end()
        elif stubborn:
            await crowd.begin()
        else:
            await crowd.settle()
        n_open = host.n_open()
        served = await host.serves()
        n_open = max(n_open, host.n_open())
    assert host.lives()
    assert host.peak_mb() < MACHINE_MB
    assert n_open < host.n_descriptors
    assert served, "an ordinary request beside the crowd"
    await is_sound(host)


async def is_sound(host):
    """Assert that a host is sound after a crowd has left it."""
    assert await host.serves(), "an ordinary request after the crowd"
    assert host.lives()
    assert host.peak_mb() < MACHINE_MB
