"""Running a request through the stages of its service document."""

import expression
import msgspec
import trio

from teaselwall import errors, outcomes, services
from teaselwall.generated import messages


class Pipeline:
    """Runs the stages of requests; stages whose inputs are ready run concurrently.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
    claims : claims.Claims
        Calls the stages that are not idempotent.
    """

    __slots__ = ("dispatcher", "claims")

    def __init__(self, dispatcher, claims):
        self.dispatcher = dispatcher
        self.claims = claims

    async def run(self, request, sink):
        """Run a request until it ends or its deadline passes.

        Parameters
        ----------
        request : requests.Request
        sink : callable
            ``await sink(tokens)`` for each batch of tokens.

        Returns
        -------
        expression.Result
            ``messages.Answer``.
        """
        refusal = self.dispatcher.guard.refusal(request)
        if refusal is not None:
            return expression.Error(outcomes.with_request_outcome(request, refusal))
        result = None
        with request.deadline.clock.timeout_ms(request.deadline.remaining_ms()):
            result = await self._run_stages(request, sink)
        if result is None:
            detail = "The deadline passed before the answer was complete."
            result = expression.Error(errors.DeadlineExceeded(detail))
        return result.map_error(
            lambda error: outcomes.with_request_outcome(request, error)
        )

    async def _run_stages(self, request, sink):
        document = request.document
        run = _RequestRun(self.dispatcher, self.claims, request, sink)
        async with trio.open_nursery() as nursery:
            for stage in document.stages:
                nursery.start_soon(run.run_stage, stage, nursery.cancel_scope)
        if run.error is not None:
            return expression.Error(run.error)
        output = run.outputs[document.stages[-1].name]
        answer = messages.Answer(
            request=request.id,
            output=output,
            recorded=run.n_claimed > 0 and run.n_claimed == run.n_recorded,
            n_tokens=run.n_tokens,
        )
        return expression.Ok(answer)


class _RequestRun:
    """State of one request's stages.

    Attributes
    ----------
    outputs : dict of str to object
        The caller's input and the outputs of the stages that have ended, by name.
    done : dict of str to trio.Event
        Set once the stage of that name has succeeded.
    error : errors.Error or None
        Error of the first stage that failed.
    n_tokens : int
        Tokens of the engine stage that ended last.
    n_claimed : int
        Stages run through ``claims`` that succeeded.
    n_recorded : int
        Those of them whose result is in the log.
    """

    __slots__ = (
        "dispatcher",
        "claims",
        "request",
        "sink",
        "outputs",
        "done",
        "error",
        "n_tokens",
        "n_claimed",
        "n_recorded",
    )

    def __init__(self, dispatcher, claims, request, sink):
        self.dispatcher = dispatcher
        self.claims = claims
        self.request = request
        self.sink = sink
        self.outputs = {services.REQUEST_INPUT: request.input}
        self.done = {stage.name: trio.Event() for stage in request.document.stages}
        self.error = None
        self.n_tokens = 0
        self.n_claimed = 0
        self.n_recorded = 0

    async def run_stage(self, stage, cancel_scope):
        """Run one stage once its inputs are ready; cancel the others if it fails."""
        inputs = {}
        for name in services.inputs(self.request.document, stage):
            if name in self.done:
                await self.done[name].wait()
            inputs[name] = self.outputs[name]
        result = await self._call(stage, inputs)
        if result.is_error():
            self.error = self.error or result.error
            cancel_scope.cancel()
            return
        self.outputs[stage.name] = result.ok
        self.done[stage.name].set()

    async def _call(self, stage, inputs):
        if not stage.idempotent:
            return await self._call_claimed(stage, inputs)
        if stage.kind != "engine":
            return await self.dispatcher.call(self.request, stage, inputs)
        prompt = msgspec.json.encode(inputs).decode()
        result = await self.dispatcher.generate(self.request, stage, prompt, self.sink)
        if result.is_ok():
            self.n_tokens = len(result.ok)
        return result.map("".join)

    async def _call_claimed(self, stage, inputs):
        self.request.n_pending += 1
        result = await self.claims.call(self.request, stage, inputs)
        self.request.n_pending -= 1
        self.request.key_looked_up = True
        if result.is_error():
            self.request.record_outcome(result.error.outcome)
            return result
        self.request.has_effect = True
        self.n_claimed += 1
        self.n_recorded += result.ok.recorded
        return result.map(lambda claimed: claimed.output)
