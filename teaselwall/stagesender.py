"""Sends calls to stage servers within the limits that these name."""

import expression

from teaselwall import errors, requestlimits


class StageSender:
    """Sends the pieces of a call to a server.

    Parameters
    ----------
    fleet : fleet.Fleet
    client : stagecalls.StageClient
    """

    __slots__ = ("fleet", "client")

    def __init__(self, fleet, client):
        self.fleet = fleet
        self.client = client

    async def send(self, state, items):
        """Have a server run some pieces once it takes a call.

        Parameters
        ----------
        state : stageservers.StageServer
        items : list of stagecalls.Item

        Returns
        -------
        expression.Result
            See ``stagecalls.StageClient.run``.
        """
        server = state.server
        may_send = await self.fleet.limits.obtain(server, requestlimits.STAGE_URGENCY)
        if not (may_send and self.fleet.in_service(server)):
            detail = f"{server.address} takes no more calls for now."
            return expression.Error(errors.Overloaded(detail))
        started_ms = self.fleet.clock.now_ms()
        result = await self.client.run(server, items, state.timeout_ms(len(items)))
        self.fleet.paths.record_call(server, result, started_ms)
        self.fleet.record_rejection(server, result.swap().default_value(None))
        return result
