"""Sends a request once and relays the reply to its caller as it arrives."""

import abc

import trio

from teaselwall import calls, errors, httpcalls


class InputsGone(errors.ServerFailed):
    """A server refused because the stage results it should fetch no longer exist."""


class BadAnswer(errors.ServerFailed):
    """A server's own reply to the request with a status other than 2xx.

    Parameters
    ----------
    reply : protocols.ReplyHead
    body : bytes
    detail : str
    outcome : errors.Outcome
    """

    def __init__(self, reply, body, detail, outcome):
        super().__init__(detail, outcome=outcome)
        self.reply = reply
        self.body = body


class RequestAttempt(abc.ABC):
    """One attempt at a request, at a server or at another entry host.

    Parameters
    ----------
    transport : httpcalls.HttpCalls
    protocol : protocols.Protocol
    call : calls.Call
    address : str
        Where the request is sent.
    reply : replies.Reply
    may_give_up : callable
        See ``httpcalls.HttpCalls.forward``.
    received : progress.AttemptProgress
    """

    __slots__ = (
        "transport",
        "protocol",
        "call",
        "address",
        "reply",
        "may_give_up",
        "received",
    )

    def __init__(
        self, transport, protocol, call, address, reply, may_give_up, received
    ):
        self.transport = transport
        self.protocol = protocol
        self.call = call
        self.address = address
        self.reply = reply
        self.may_give_up = may_give_up
        self.received = received

    @abc.abstractmethod
    async def headers(self, remaining_ms):
        """Return the headers of the request, as a list of (bytes, bytes).

        Parameters
        ----------
        remaining_ms : float
            Time left until the request's deadline.

        Raises
        ------
        errors.TransportError
            The request must not be sent there.
        """

    @abc.abstractmethod
    def on_reply(self, head):
        """Take what the head of the reply says, as ``protocols.ReplyHead``."""

    @abc.abstractmethod
    def on_success(self):
        """Take that the reply has a status of 2xx."""

    @abc.abstractmethod
    async def on_first_event(self):
        """Take that the first event of a stream is about to be passed on."""

    async def run(self):
        """Send the request and relay the reply; return the error, or None."""
        call, transport = self.call, self.transport
        remaining_ms = call.deadline.remaining_ms()
        try:
            with trio.fail_after(max(0.0, remaining_ms) / 1000) as limit:
                self.reply.add_limit(limit)
                headers = await self.headers(remaining_ms)
                async with transport.forward(
                    call.head.method,
                    self.address,
                    call.head.target,
                    headers,
                    call.body,
                    call.head_timeout_ms(remaining_ms),
                    silence_ms=call.silence_timeout_ms(remaining_ms),
                    progress=self.received,
                    may_give_up=self.may_give_up,
                ) as response:
                    self.received.record_head()
                    return await self._read_response(response)
        except transport.failures as error:
            return transport.to_error(self.address, "", error, self.received)
        except errors.TransportError as error:
            return error

    async def _read_response(self, response):
        call = self.call
        head = self.protocol.read_reply(response.status, response.headers, call.head)
        self.on_reply(head)
        if not head.genuine and not head.not_run:
            detail = (
                f"The reply from {self.address} lacks the server's stamp or belongs "
                "to another request."
            )
            raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
        if head.inputs_gone and head.not_run:
            detail = f"{self.address} did not find the request's stage results."
            raise InputsGone(detail, outcome=errors.Outcome.NOT_RUN)
        if head.not_run:
            detail = f"{self.address} refused the request with status {head.status}."
            raise errors.ServerFailed(detail, outcome=errors.Outcome.NOT_RUN)
        if not head.succeeded:
            body = await httpcalls.read_body(response)
            detail = f"{self.address} answered with status {head.status}."
            raise BadAnswer(head, body, detail, errors.Outcome.RAN)
        self.on_success()
        if calls.is_streaming(call.route):
            await self._relay_stream(head, response)
        else:
            body = await httpcalls.read_body(response)
            await self.reply.send_whole(head.status, head.headers, body)
        return None

    async def _relay_stream(self, head, response):
        """Pass complete events on to the caller as they arrive."""
        splitter = self.call.splitter
        splitter.partial = b""
        splitter.may_hold_heads = not httpcalls.is_framed(response.headers)
        if not self.reply.started:
            self.reply.start(head.status, head.headers)
        elif _media_type(head.headers) != _media_type(self.reply.head["headers"]):
            detail = f"{self.address} did not go on with the stream that has begun."
            raise errors.ServerFailed(detail, outcome=errors.Outcome.UNKNOWN)
        event_ms = self.received.received_ms
        async for data in response.aiter_stream():
            self.received.record_bytes(len(data))
            complete = splitter.feed(data)
            if complete:
                event_ms = self.call.waiting_since_ms = self.received.received_ms
                if not self.reply.started:
                    await self.on_first_event()
                await self.reply.write(complete)
            else:
                self._check_progress(self.received.received_ms - event_ms)
        if splitter.partial:
            detail = f"The stream from {self.address} ended within an event."
            raise errors.ConnectionBroken(detail, outcome=errors.Outcome.UNKNOWN)
        await self.reply.end()

    def _check_progress(self, since_event_ms):
        """Give up a server that sends bytes but no event, as one that is silent."""
        limit_ms = self.call.silence_timeout_ms(self.call.deadline.remaining_ms())
        if since_event_ms > limit_ms and self.may_give_up():
            address = self.address
            detail = f"{address} sent no whole event for {since_event_ms:.0f} ms."
            raise errors.TransportError(detail, outcome=errors.Outcome.UNKNOWN)


def _media_type(headers):
    """Return the media type of a reply without parameters, empty if it has none."""
    found = [value for name, value in headers if name.lower() == b"content-type"]
    return found[0].split(b";")[0].strip().lower() if found else b""
