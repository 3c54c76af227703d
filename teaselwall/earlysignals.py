"""Signals that arrive before the process can handle them.

By default, SIGHUP and SIGTERM end a process. Loading the modules of an entry host takes
most of its start, so this module is loaded before them and loads none of them.
"""

import signal

received = []


def record(*numbers):
    """Record these signals until another handler takes its place.

    Parameters
    ----------
    *numbers : signal.Signals
    """
    for number in numbers:
        signal.signal(number, _record)


def take():
    """Return the signals recorded so far, in their order, and forget them."""
    taken = received[:]
    del received[: len(taken)]
    return taken


def _record(number, frame):
    received.append(number)
