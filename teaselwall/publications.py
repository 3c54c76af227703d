"""Publishes changes of the configuration and reads the verdicts on them."""

import logging

import expression
import msgspec

from teaselwall import changes, clock, configuration, errors, events, snapshots
from teaselwall.generated import messages

logger = logging.getLogger(__name__)

PUBLISH_TIMEOUT_MS = 4000
RETRY_INTERVAL_MS = 200
MAX_APPENDS = 5  # attempts for a change or a restart


class Publisher:
    """Appends changes to the log and reads back the verdicts on them.

    Parameters
    ----------
    clock : clock.Clock
    log : logservice.LogService
    follower : followers.Follower
    """

    __slots__ = ("clock", "log", "follower")

    def __init__(self, clock, log, follower):
        self.clock = clock
        self.log = log
        self.follower = follower

    async def publish(self, change, limit_ms=PUBLISH_TIMEOUT_MS):
        """Append a change unless its verdict is known, and return the verdict.

        Parameters
        ----------
        change : messages.ConfigurationChange
        limit_ms : float

        Returns
        -------
        expression.Result
            ``verdicts.Verdict``, or ``errors.Unavailable`` whose outcome says
            whether the change may still take effect. The same change may be
            published again at any time.
        """
        deadline = clock.Deadline(self.clock, limit_ms)
        outcome = errors.Outcome.NOT_RUN
        for _ in range(MAX_APPENDS):
            verdict = self.follower.state.verdict(change)
            if verdict is not None:
                return expression.Ok(verdict)
            if deadline.passed():
                break
            if await self._append(change, deadline) is not errors.Outcome.NOT_RUN:
                outcome = errors.Outcome.UNKNOWN
        verdict = self.follower.state.verdict(change)
        if verdict is not None:
            return expression.Ok(verdict)
        return _not_confirmed(outcome)

    async def restart(self, author):
        """Append this host's state as a restart, after the log has lost unread records.

        Returns
        -------
        expression.Result
            Version in force after the restart, or ``errors.Unavailable``.
        """
        for _ in range(MAX_APPENDS):
            result = await self._append_restart(author)
            if result.is_ok() and not self.follower.log_gap:
                return expression.Ok(self.follower.state.version)
            await self.clock.sleep_ms(RETRY_INTERVAL_MS)
        return _not_confirmed(errors.Outcome.UNKNOWN)

    async def _append_restart(self, author):
        timeout_ms = self.follower.timeout_ms
        page = await self.log.read(configuration.STREAM, 0, 1, timeout_ms)
        if page.is_error():
            return page
        record = messages.ConfigurationRestart(
            kind="restart",
            end=page.ok.end,
            change=changes.new_id(),
            author=author,
            text=snapshots.encode_restart(self.follower.state, page.ok.end),
        )
        data = msgspec.to_builtins(record)
        result = await self.log.append(configuration.STREAM, data, timeout_ms)
        await self.follower.step()
        return result

    async def _append(self, change, deadline):
        """Append once and catch up to the record; return the append's outcome."""
        timeout_ms = min(self.follower.timeout_ms, deadline.remaining_ms())
        result = await self.log.append(
            configuration.STREAM, changes.record(change), timeout_ms
        )
        if result.is_ok():
            await self.follower.catch_up_to(result.ok + 1, deadline.remaining_ms())
            return errors.Outcome.RAN
        detail = str(result.error)
        events.log(logger, logging.WARNING, "publication_failed", detail=detail)
        # The record may be in the log in spite of the error: read before a retry.
        with self.clock.timeout_ms(deadline.remaining_ms()):
            await self.clock.sleep_ms(RETRY_INTERVAL_MS)
            await self.follower.step()
        return result.error.outcome


def _not_confirmed(outcome):
    detail = (
        "The log service did not confirm the change in time; it may still take effect."
    )
    if outcome is errors.Outcome.NOT_RUN:
        detail = "The log service cannot be reached; the change was not made."
    remedy = "Repeat the same command with the same --change identifier."
    return expression.Error(errors.Unavailable(detail, outcome=outcome, remedy=remedy))
