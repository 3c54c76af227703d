"""What the quarantine does around one attempt."""

import logging

import trio
import xxhash

from teaselwall import errors, events, probes, quarantine

logger = logging.getLogger(__name__)


class Guard:
    """Holds suspects back before an attempt and looks for crashes after it.

    Parameters
    ----------
    suspects : quarantine.Quarantine
    prober : probes.Prober
    """

    __slots__ = ("suspects", "prober")

    def __init__(self, suspects, prober):
        self.suspects = suspects
        self.prober = prober

    def refusal(self, request):
        """Return the error that refuses a request before any stage, or None."""
        for stage in request.document.stages:
            error = self.suspects.refusal(content_of(request, stage))
            if error is not None:
                return error
        return None

    async def admit(self, made):
        """Wait until an attempt may be made.

        Parameters
        ----------
        made : attempts.Attempts

        Returns
        -------
        expression.Result
            See ``quarantine.Quarantine.admit``.
        """
        content = content_of(made.request, made.stage)
        return await self.suspects.admit(content, made.request.deadline)

    async def examine(self, made, server, trial):
        """Find out whether a server died while it had the request.

        The evidence is taken even if the caller has gone away meanwhile.
        """
        if not isinstance(made.error, errors.ConnectionBroken):
            return
        with trio.CancelScope(shield=True):
            if not await self.prober.crashed(server):
                return
        content = content_of(made.request, made.stage)
        self.suspects.report(made.request, content, server, trial)
        events.log(
            logger,
            logging.WARNING,
            "server_crashed",
            server=server.address,
            request=made.request.id,
            content=content,
        )

    def settle(self, made, trial, result):
        """End the attempt's trial, where it was one; None as result is unclear."""
        cleared = result is not None and result.is_ok()
        content = content_of(made.request, made.stage)
        self.suspects.end_trial(content, trial, cleared)


def local(clock):
    """Return a guard that shares nothing and asks no server."""
    return Guard(quarantine.Quarantine(clock), probes.NoProber())


def spread(made, choices):
    """Return the server for a suspect's trial, or None.

    Suspects of one crash go to different servers, so that the next crash tells
    them apart.

    Parameters
    ----------
    made : attempts.Attempts
    choices : list of servers.Server
    """
    content = content_of(made.request, made.stage)
    fresh = [server for server in choices if server.address not in made.tried]

    def weight(server):
        return xxhash.xxh3_64_intdigest(f"{content}/{server.address}".encode())

    return max(fresh, key=weight, default=None)


def content_of(request, stage):
    """Return the content that the quarantine knows a request by at one stage."""
    return f"{request.content}/{stage.pool}"
