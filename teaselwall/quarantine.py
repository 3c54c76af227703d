"""Requests that crash backend servers: suspicion, trial runs and refusal.

A content is the hash of organisation, service and input on one stage pool. Every
content whose connection broke as a server died becomes a suspect. A suspect runs
as a trial: one run at a time over all entry hosts, decided by the order of trial
records in the log. A trial that succeeds clears the content; a second crash puts
the blame on it.
"""

import collections
import secrets

import expression
import msgspec
import trio

from teaselwall import errors, suspects
from teaselwall.generated import messages

MAX_CRASHES = 3
FULL_BLAME = 0.99
MAX_ENTRIES = 10_000
MAX_CRASHES_KEPT = 16
MAX_PENDING = 1000
EXPIRY_MS = 3_600_000
TRIAL_MS = 10_000
READ_BACK_MS = 500
WAIT_MS = 1000
SETTLE_MS = 50
TRIAL_SETTLE_MS = 200
MAX_CONTENTS_PER_CRASH = 256
MASS_CRASHES = 3
MASS_WINDOW_MS = 2000
RETRY_AFTER_MS = 1000


class Quarantine:
    """Table of suspects on one entry host.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    pending : collections.deque of messages.QuarantineRecord
        Records for the log, sent by ``evidence.EvidenceLog``.
    """

    __slots__ = (
        "clock",
        "entries",
        "by_crash",
        "recent",
        "pending",
        "wanted",
        "changed",
    )

    def __init__(self, clock):
        self.clock = clock
        self.entries = collections.OrderedDict()
        self.by_crash = collections.OrderedDict()
        self.recent = collections.deque()
        self.pending = collections.deque(maxlen=MAX_PENDING)
        self.wanted = trio.Event()
        self.changed = trio.Event()

    def add_handlers(self, control):
        """Add the operators' paths to list and lift.

        Parameters
        ----------
        control : control.Control
        """
        control.add("/operator/quarantine/list", self._handle_list)
        control.add("/operator/quarantine/lift", self._handle_lift)

    async def _handle_list(self, message):
        return self.listing()

    async def _handle_lift(self, message):
        try:
            lift = msgspec.convert(message, messages.QuarantineLift)
        except msgspec.ValidationError as error:
            remedy = "Name the 'content' as /operator/quarantine/list shows it."
            raise errors.InvalidRequest(f"{error}.", remedy=remedy) from error
        if self.find(lift.content) is None:
            raise errors.NotFound(f"No suspect has the content {lift.content}.")
        self.lift(lift.content)
        return self.listing()

    def refusal(self, content):
        """Return the error that refuses a content, or None."""
        entry = self.find(content)
        if entry is None or not self.refused(entry):
            return None
        detail = f"The request {content} has crashed {len(entry.crashes)} servers."
        return errors.Quarantined(detail)

    def refused(self, entry):
        """Return whether the crashes of an entry suffice to refuse it.

        Blame comes from trials alone. It is shared with the contents that were in
        flight at the same crash and at another one too.
        """
        if len(entry.crashes) >= MAX_CRASHES:
            return True
        if self._unsettled_ms(entry) > 0:
            return False
        blame = sum(
            1 / max(1, self._n_repeated(crash))
            for crash, in_trial in entry.crashes.items()
            if in_trial
        )
        return blame >= FULL_BLAME

    def _n_repeated(self, crash):
        contents = self.by_crash.get(crash, ())
        entries = [self.entries.get(content) for content in contents]
        return sum(e is not None and len(e.crashes) > 1 for e in entries)

    def _unsettled_ms(self, entry):
        """Return how long to wait for other hosts' evidence of the newest crash."""
        in_trial = any(entry.crashes.values())
        settle_ms = TRIAL_SETTLE_MS if in_trial else SETTLE_MS
        return entry.crashed_ms + settle_ms - self.clock.now_ms()

    def find(self, content):
        """Return the entry of a content unless it has expired, or None."""
        entry = self.entries.get(content)
        if entry is None:
            return None
        if self.clock.now_ms() - entry.seen_ms >= EXPIRY_MS:
            del self.entries[content]
            return None
        return entry

    async def admit(self, content, deadline, choose):
        """Wait until a content may run.

        Parameters
        ----------
        content : str
        deadline : clock.Deadline
        choose : callable
            ``choose(busy)`` gives the address for a trial, none of ``busy``, or
            None.

        Returns
        -------
        expression.Result
            The trial, None for contents without suspicion; or
            ``errors.Quarantined``, or ``errors.Unavailable`` where other trials
            last past the deadline. Nothing has run then.
        """
        while True:
            entry = self.find(content)
            if entry is None or not entry.crashes:
                return expression.Ok(None)
            error = self.refusal(content)
            if error is not None:
                return expression.Error(error)
            if deadline.passed():
                return _busy(content)
            trial = await self._step(entry, deadline, choose)
            if trial is not None:
                return expression.Ok(trial)

    async def _step(self, entry, deadline, choose):
        """Win a trial, or wait for what stands in its way and return None."""
        limit_ms = deadline.remaining_ms()
        unsettled_ms = self._unsettled_ms(entry)
        if unsettled_ms > 0:
            await self._wait(min(limit_ms, unsettled_ms))
            return None
        if not entry.claim and not self._on_trial(entry):
            server = choose(self._busy_servers())
            if server is not None:
                return await self._win_trial(entry, server)
        await self._wait(min(limit_ms, WAIT_MS))
        return None

    async def _win_trial(self, entry, server):
        trial = suspects.Trial(secrets.token_hex(8), server, self.clock.now_ms())
        entry.claim = trial.id
        won = False
        try:
            self._push("trial", entry.content, id=trial.id, server=server)
            await self._read_back(entry)
            if self._undecided(entry) and server not in self._busy_servers():
                entry.trial = trial
            won = entry.trial is not None and entry.trial.id == trial.id
        finally:
            entry.claim = ""
            if not won:
                self.apply(self._push("ended", entry.content, id=trial.id))
        return trial if won else None

    async def _read_back(self, entry):
        """Wait for the log's choice; with the log away this host chooses alone."""
        with self.clock.timeout_ms(READ_BACK_MS):
            while self._undecided(entry):
                await self.changed.wait()

    def _undecided(self, entry):
        open_claim = entry.trial is None and entry.claim not in entry.ended
        return open_claim and entry.crashes and not self.refused(entry)

    async def _wait(self, limit_ms):
        changed = self.changed
        with self.clock.timeout_ms(limit_ms):
            await changed.wait()

    def _wake(self):
        self.changed.set()
        self.changed = trio.Event()

    def _on_trial(self, entry):
        trial = entry.trial
        if trial is None:
            return False
        if self.clock.now_ms() - trial.seen_ms >= TRIAL_MS:
            entry.trial = None
            return False
        return True

    def _busy_servers(self):
        return {e.trial.server for e in self.entries.values() if self._on_trial(e)}

    def end_trial(self, content, trial, cleared):
        """End a trial of this host.

        Parameters
        ----------
        content : str
        trial : suspects.Trial or None
        cleared : bool
            Whether the run succeeded, which takes the suspicion off.
        """
        if trial is not None:
            kind = "lift" if cleared else "ended"
            self.apply(self._push(kind, content, id=trial.id))

    def report(self, request, content, crash, trial):
        """Take this host's own evidence that a server died with a content.

        Parameters
        ----------
        request : requests.Request
        content : str
        crash : str
            See ``probes.Prober.crash``.
        trial : suspects.Trial or None
        """
        if self._mass_crash(crash):
            return
        record = self._push(
            "crash",
            content,
            id="" if trial is None else trial.id,
            crash=crash,
            trial=trial is not None,
            organisation=request.organisation,
            service=request.document.service,
        )
        self.apply(record)

    def _mass_crash(self, crash):
        """Return whether too many servers die at once for one content's doing."""
        now_ms = self.clock.now_ms()
        while self.recent and now_ms - self.recent[0][1] >= MASS_WINDOW_MS:
            self.recent.popleft()
        if any(crash == known for known, _ in self.recent):
            return False
        if len(self.recent) >= MASS_CRASHES:
            return True
        self.recent.append((crash, now_ms))
        return False

    def apply(self, record):
        """Take a record, also one that is known already.

        Parameters
        ----------
        record : messages.QuarantineRecord
        """
        if record.kind == "crash":
            self._apply_crash(record)
            return
        entry = self.find(record.content)
        if entry is None:
            return
        if record.kind == "trial":
            self._apply_trial(entry, record)
        elif record.kind == "ended":
            entry.end(record.id)
        else:
            entry.forgive()
        self._wake()

    def _apply_crash(self, record):
        entry = self.find(record.content) or self._add(record)
        if record.crash in entry.forgiven or len(entry.crashes) >= MAX_CRASHES_KEPT:
            return
        if record.crash not in entry.crashes:
            entry.crashes[record.crash] = record.trial
            entry.crashed_ms = self.clock.now_ms()
        if record.id:
            entry.end(record.id)
        self._index(record)
        self._wake()

    def _index(self, record):
        contents = self.by_crash.setdefault(record.crash, set())
        if len(contents) < MAX_CONTENTS_PER_CRASH:
            contents.add(record.content)
        if len(self.by_crash) > MAX_ENTRIES:
            self.by_crash.popitem(last=False)

    def _apply_trial(self, entry, record):
        known = record.id in entry.ended
        if known or not entry.crashes or self._on_trial(entry):
            return
        if record.server in self._busy_servers():
            entry.end(record.id)
            return
        now_ms = self.clock.now_ms()
        entry.trial = suspects.Trial(record.id, record.server, now_ms)

    def _add(self, record):
        entry = suspects.SuspectEntry(record, self.clock.now_ms())
        self.entries[record.content] = entry
        if len(self.entries) > MAX_ENTRIES:
            self.entries.popitem(last=False)
        return entry

    def lift(self, content):
        """Take the suspicion off a content, here and through the log everywhere."""
        self.apply(self._push("lift", content))

    def listing(self):
        """Return the present entries.

        Returns
        -------
        messages.QuarantineListing
        """
        now_ms = self.clock.now_ms()
        found = [self.find(content) for content in list(self.entries)]
        return messages.QuarantineListing(
            entries=[
                messages.QuarantineEntry(
                    content=entry.content,
                    organisation=entry.organisation,
                    service=entry.service,
                    n_crashes=len(entry.crashes),
                    refused=self.refused(entry),
                    age_ms=int(now_ms - entry.seen_ms),
                )
                for entry in found
                if entry is not None and entry.crashes
            ]
        )

    def _push(self, kind, content, **fields):
        record = messages.QuarantineRecord(kind=kind, content=content, **fields)
        self.pending.append(record)
        self.wanted.set()
        return record


def _busy(content):
    detail = f"The suspected request {content} is being tried elsewhere."
    return expression.Error(errors.Unavailable(detail, retry_after_ms=RETRY_AFTER_MS))
