"""What hosts tell each other about servers that ended and about refused suspects."""

import logging

import msgspec

from teaselwall import crashquarantine, events
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

# Servers whose ends a notice names.
MAX_ENDS_TOLD = 4
# A report is told again after these times, as datagrams may be lost.
REPEATS_MS = (100.0, 300.0)
# Clearances in one message, which is lost as a whole.
MAX_CLEARANCES = 64
MAX_SUSPECTS_LOGGED = 8


def notice(entry, is_on_trial):
    """Return what other hosts are told of a refused suspect.

    Parameters
    ----------
    entry : crashquarantine.Entry
    is_on_trial : bool

    Returns
    -------
    messages.QuarantineNotice
    """
    return messages.QuarantineNotice(
        suspect=entry.suspect,
        n_events=entry.n_events,
        n_trials=entry.n_trials,
        tied=entry.is_uncertain(),
        ends=list(entry.ends)[-MAX_ENDS_TOLD:],
        on_trial=is_on_trial,
    )


def lift_notice(suspect, ends, is_operator=False):
    """Return what other hosts are told of a suspect that is refused no longer.

    Parameters
    ----------
    suspect : str
    ends : iterable of str
        Servers whose ends spoke against it.
    is_operator : bool, optional

    Returns
    -------
    messages.QuarantineLiftNotice
    """
    return messages.QuarantineLiftNotice(
        suspect=suspect, ends=sorted(ends), is_operator=is_operator
    )


def lifts_in(exchange, quarantine):
    """Return the lifts of an exchange.

    Hosts of an older version name no ends; theirs count for all that are known.

    Parameters
    ----------
    exchange : messages.Exchange
    quarantine : crashquarantine.CrashQuarantine

    Returns
    -------
    list of messages.QuarantineLiftNotice
    """
    found = {lift.suspect: lift for lift in exchange.lifts}
    for suspect in exchange.lifted:
        if suspect not in found:
            entry = quarantine.entries.get(suspect)
            found[suspect] = lift_notice(suspect, entry.ends if entry else ())
    return list(found.values())


def is_outdated(notice, lift, evidence):
    """Return whether a lift knew of all ends that a notice of a suspect is due to.

    Parameters
    ----------
    notice : messages.QuarantineNotice
        Hosts of an older version name no ends; what is known here counts for these.
    lift : crashquarantine.Lift
    evidence : crashevidence.CrashEvidence
    """
    n_most = crashquarantine.MAX_ENDS
    ends = notice.ends or evidence.ends_of(notice.suspect, n_most)
    return lift.ends.issuperset(ends)


class CrashTeller:
    """Tells other hosts without waiting.

    Parameters
    ----------
    clock : clock.Clock
    gossip : datagrams.DatagramGossip
    evidence : crashevidence.CrashEvidence

    Attributes
    ----------
    nursery : trio.Nursery or None
        None before ``crashguard.CrashGuard.run``; nothing is told then.
    """

    __slots__ = ("clock", "gossip", "evidence", "nursery")

    def __init__(self, clock, gossip, evidence):
        self.clock = clock
        self.gossip = gossip
        self.evidence = evidence
        self.nursery = None

    def tell(self, address=None, **fields):
        """Tell another host, or all of them; see ``datagrams.DatagramGossip.tell``."""
        if self.nursery is not None:
            self.nursery.start_soon(self._send, address, fields)

    async def _send(self, address, fields):
        if address is None:
            await self.gossip.tell_all(**fields)
        else:
            await self.gossip.tell(address, **fields)

    def tell_reports(self, reports):
        """Tell all hosts of a server's end, and again in case that is lost.

        Parameters
        ----------
        reports : list of messages.CrashReport
        """
        if self.nursery is not None:
            self.nursery.start_soon(self._send_reports, reports)

    async def _send_reports(self, reports):
        begun_ms = self.clock.now_ms()
        for pause_ms in (0.0, *REPEATS_MS):
            await self.clock.sleep_ms(pause_ms)
            elapsed_ms = self.clock.now_ms() - begun_ms
            for report in reports:
                if report.server in self.evidence.crashes:
                    age_ms = report.age_ms + elapsed_ms
                    current = msgspec.structs.replace(report, age_ms=age_ms)
                    await self.gossip.tell_all(crashes=[current])

    def tell_cleared(self, attempt, cleared, is_whole):
        """Tell all hosts of an answer that speaks for its suspects.

        Parameters
        ----------
        attempt : crashreports.RunningAttempt
        cleared : list of messages.CrashClearance
        is_whole : bool
            Whether the answer is whole; otherwise it goes on.
        """
        if not cleared:
            return
        for start in range(0, len(cleared), MAX_CLEARANCES):
            self.tell(cleared=cleared[start : start + MAX_CLEARANCES])
        events.log(
            logger,
            logging.INFO,
            "suspects_cleared",
            request=attempt.call.head.id,
            suspects=[c.suspect for c in cleared][:MAX_SUSPECTS_LOGGED],
            n_ends=len({server for c in cleared for server in c.servers}),
            age_ms=round(attempt.age_ms(self.clock.now_ms())),
            is_whole=is_whole,
        )
