"""Refuses requests that crash backend servers.

A content is the hash of a request's organisation, service and input, plus a stage
pool. A content whose connection broke when a server crashed becomes a suspect. A
suspect runs only in trials: one at a time over all entry hosts, decided by the order
of trial records in the log. A trial that succeeds clears the content. A content that
crashes servers in trials is refused. So is a part that several contents share, if
servers crash again and again where they begin to answer it; see ``suspects.PartEntry``.
"""

import collections
import secrets

import expression
import msgspec
import trio

from teaselwall import crashlimits, errors, suspects
from teaselwall.generated import messages

# A content is refused if its shares of the blame for crashes in trials sum to this.
FULL_BLAME = 0.99
# Suspects kept, and crashes kept in ``by_crash``; the oldest are dropped.
MAX_ENTRIES = 10_000
MAX_CRASHES_KEPT = 16  # for one suspect
# Records that wait to be appended to the log; the oldest are dropped.
MAX_PENDING = 1000
# Time from a content's first crash until it is no longer a suspect.
EXPIRY_MS = 3_600_000
# Time after which a trial without an end record counts as over.
TRIAL_EXPIRY_MS = 10_000
READ_BACK_TIMEOUT_MS = 500
# Longest wait for a change before a suspect's state is checked again.
CHECK_INTERVAL_MS = 1000
# Waits for other hosts' evidence of a crash: if none was in a trial, and otherwise.
SETTLE_MS = 50
TRIAL_SETTLE_MS = 200
MAX_CONTENTS_PER_CRASH = 256


class Quarantine:
    """Suspected contents as one entry host knows them.

    Parameters
    ----------
    clock : clock.Clock

    Attributes
    ----------
    entries : collections.OrderedDict of str to suspects.SuspectEntry
        By content, oldest first. An entry without crashes is no longer a suspect.
    by_crash : collections.OrderedDict of str to set of str
        Contents that were in flight at each crash.
    crash_limit : crashlimits.CrashLimit
    pending : collections.deque of messages.QuarantineRecord
        Records that ``evidence.EvidenceLog`` has yet to append to the log.
    has_pending : trio.Event
        Set when a record is added to ``pending``.
    changed : trio.Event
        Set when a record is applied, and then replaced by a new event.
    """

    __slots__ = (
        "clock",
        "entries",
        "by_crash",
        "crash_limit",
        "pending",
        "has_pending",
        "changed",
    )

    def __init__(self, clock):
        self.clock = clock
        self.entries = collections.OrderedDict()
        self.by_crash = collections.OrderedDict()
        self.crash_limit = crashlimits.CrashLimit(clock)
        self.pending = collections.deque(maxlen=MAX_PENDING)
        self.has_pending = trio.Event()
        self.changed = trio.Event()

    def add_handlers(self, control):
        """Register the operator calls that list and lift suspects.

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
            raise errors.NotFound(f"Content {lift.content} is not a suspect.")
        self.lift(lift.content)
        return self.listing()

    def refusal(self, content):
        """Return the error for a content that is refused, or None."""
        entry = self.find(content)
        if entry is None or not (self.is_refused(entry) or self._is_probed(entry)):
            return None
        detail = f"Request {content} ran on {len(entry.crashes)} servers that crashed."
        return errors.Quarantined(detail)

    def is_suspect(self, content):
        """Return whether a content or part may run in trials only."""
        entry = self.find(content)
        return entry is not None and entry.is_suspect()

    def _is_probed(self, entry):
        """Return whether another request tries a part that is otherwise refused."""
        return entry.is_blamed() and (entry.requested_trial or self._on_trial(entry))

    def is_refused(self, entry):
        """Return whether a suspect has crashed enough servers to be refused.

        Of a content with few crashes, only crashes in trials count. The blame for each
        is divided among the contents that were in flight at this and at another crash.
        """
        if entry.is_refused(self.clock.now_ms()):
            return True
        if not entry.shares_blame or self._unsettled_ms(entry) > 0:
            return False
        blame = sum(
            1 / max(1, self._n_repeat_suspects(crash))
            for crash, in_trial in entry.crashes.items()
            if in_trial
        )
        return blame >= FULL_BLAME

    def _n_repeat_suspects(self, crash):
        contents = self.by_crash.get(crash, ())
        entries = [self.entries.get(content) for content in contents]
        return sum(e is not None and len(e.crashes) > 1 for e in entries)

    def _unsettled_ms(self, entry):
        """Return the time to wait for other hosts' evidence of the newest crash."""
        in_trial = any(entry.crashes.values())
        settle_ms = TRIAL_SETTLE_MS if in_trial else SETTLE_MS
        unsettled_ms = entry.crashed_ms + settle_ms - self.clock.now_ms()
        if not entry.shares_blame:
            unsettled_ms = max(unsettled_ms, self.crash_limit.wait_ms())
        return unsettled_ms

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
        """Wait until a content may run, if it is a suspect.

        Parameters
        ----------
        content : str
        deadline : clock.Deadline
        choose : callable
            ``choose(busy)`` returns the address of a server for a trial, not in
            ``busy``, or None.

        Returns
        -------
        expression.Result
            The trial, or None if the content is not a suspect. The error is
            ``errors.Quarantined`` for a refused content, or ``errors.Unavailable``
            if no trial could start before the deadline; nothing has run then.
        """
        while True:
            entry = self.find(content)
            if entry is None or not entry.is_suspect():
                return expression.Ok(None)
            error = self.refusal(content)
            if error is not None:
                return expression.Error(error)
            if deadline.passed():
                return expression.Error(suspects.no_trial_error(content))
            trial = await self._try_trial(entry, deadline, choose)
            if trial is not None:
                return expression.Ok(trial)

    async def wait_until_settled(self, content, deadline):
        """Wait for other hosts' evidence of a content's newest crash, if there is one.

        Parameters
        ----------
        content : str
        deadline : clock.Deadline
        """
        entry = self.find(content)
        while entry is not None and entry.is_suspect() and not deadline.passed():
            unsettled_ms = self._unsettled_ms(entry)
            if unsettled_ms <= 0:
                return
            await self._wait_for_change(min(deadline.remaining_ms(), unsettled_ms))

    async def _try_trial(self, entry, deadline, choose):
        """Return an admitted trial, or wait for a change and return None."""
        remaining_ms = deadline.remaining_ms()
        unsettled_ms = self._unsettled_ms(entry)
        if unsettled_ms > 0:
            await self._wait_for_change(min(remaining_ms, unsettled_ms))
            return None
        if not entry.requested_trial and not self._on_trial(entry):
            server = choose(self._busy_servers())
            if server is not None:
                return await self._request_trial(entry, server)
        await self._wait_for_change(min(remaining_ms, CHECK_INTERVAL_MS))
        return None

    async def _request_trial(self, entry, server):
        """Write a trial record to the log; return the trial if it is admitted."""
        id, now_ms = secrets.token_hex(8), self.clock.now_ms()
        trial = suspects.Trial(id, server, now_ms, entry.content)
        entry.requested_trial = trial.id
        is_admitted = False
        try:
            self._add_pending("trial", entry.content, id=trial.id, server=server)
            await self._wait_for_decision(entry)
            # If the log does not answer in time, this host decides alone.
            if self._is_undecided(entry) and server not in self._busy_servers():
                entry.trial = trial
            is_admitted = entry.trial is not None and entry.trial.id == trial.id
        finally:
            entry.requested_trial = ""
            if not is_admitted:
                self.apply(self._add_pending("ended", entry.content, id=trial.id))
        return trial if is_admitted else None

    async def _wait_for_decision(self, entry):
        """Wait until the log shows which trial is admitted, or a time-out."""
        with self.clock.timeout_ms(READ_BACK_TIMEOUT_MS):
            while self._is_undecided(entry):
                await self.changed.wait()

    def _is_undecided(self, entry):
        is_open = entry.trial is None and entry.requested_trial not in entry.ended
        return is_open and entry.is_suspect() and not self.is_refused(entry)

    async def _wait_for_change(self, limit_ms):
        changed = self.changed
        with self.clock.timeout_ms(limit_ms):
            await changed.wait()

    def _notify_change(self):
        self.changed.set()
        self.changed = trio.Event()

    def _on_trial(self, entry):
        """Return whether a trial of a content runs; drop it if it has expired."""
        trial = entry.trial
        if trial is None:
            return False
        if self.clock.now_ms() - trial.seen_ms >= TRIAL_EXPIRY_MS:
            entry.trial = None
            return False
        return True

    def _busy_servers(self):
        return {e.trial.server for e in self.entries.values() if self._on_trial(e)}

    def end_trial(self, trial, cleared):
        """End a trial that ran on this host.

        Parameters
        ----------
        trial : suspects.Trial or None
        cleared : bool
            Whether the run succeeded, so that the content is no longer a suspect.
        """
        if trial is not None:
            kind = "lift" if cleared else "ended"
            self.apply(self._add_pending(kind, trial.content, id=trial.id))

    def report(self, request, content, crash, trial, cause=""):
        """Report that a server crashed while this host had a content running on it.

        Parameters
        ----------
        request : requests.Request
        content : str
        crash : str
            See ``probes.Prober.find_crash``.
        trial : suspects.Trial or None
        cause : str
            The content that was running, if ``content`` is a part.
        """
        if not self.crash_limit.admits(crash):
            return
        # A trial of a part is one of its content too.
        in_trial = trial is not None and (not cause or trial.content == content)
        record = self._add_pending(
            "crash",
            content,
            id=trial.id if in_trial else "",
            crash=crash,
            trial=in_trial,
            cause=cause,
            organisation=request.organisation,
            service=request.document.service,
        )
        self.apply(record)

    def apply(self, record):
        """Apply a record, which may have been applied before.

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
            entry.lift()
        self._notify_change()

    def _apply_crash(self, record):
        entry = self.find(record.content) or self._add(record)
        if record.crash in entry.lifted or len(entry.crashes) >= MAX_CRASHES_KEPT:
            return
        entry.add_crash(record, self.clock.now_ms())
        if record.id:
            entry.end(record.id)
        if not record.cause:
            self._index_crash(record)
        self._notify_change()

    def _index_crash(self, record):
        contents = self.by_crash.setdefault(record.crash, set())
        if len(contents) < MAX_CONTENTS_PER_CRASH:
            contents.add(record.content)
        if len(self.by_crash) > MAX_ENTRIES:
            self.by_crash.popitem(last=False)

    def _apply_trial(self, entry, record):
        has_ended = record.id in entry.ended
        if has_ended or not entry.is_suspect() or self._on_trial(entry):
            return
        if record.server in self._busy_servers():
            entry.end(record.id)
            return
        now_ms = self.clock.now_ms()
        entry.trial = suspects.Trial(record.id, record.server, now_ms, entry.content)

    def _add(self, record):
        entry = suspects.new_entry(record, self.clock.now_ms())
        self.entries[record.content] = entry
        if len(self.entries) > MAX_ENTRIES:
            self.entries.popitem(last=False)
        return entry

    def lift(self, content):
        """Clear a content of suspicion here and, through the log, at all hosts."""
        self.apply(self._add_pending("lift", content))

    def listing(self):
        """Return the suspects for operators.

        Returns
        -------
        messages.QuarantineListing
        """
        now_ms = self.clock.now_ms()
        found = [self.find(content) for content in list(self.entries)]
        return messages.QuarantineListing(
            entries=[
                entry.listed(now_ms, self.is_refused(entry))
                for entry in found
                if entry is not None and entry.is_suspect()
            ]
        )

    def _add_pending(self, kind, content, **fields):
        record = messages.QuarantineRecord(kind=kind, content=content, **fields)
        self.pending.append(record)
        self.has_pending.set()
        return record
