"""HTTP client that gives scripted replies and records the calls."""

import expression

from teaselwall import clock


class ScriptedTransport:
    """Transport that returns the replies that a test has queued."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.clock = clock.Clock()

    async def call_raw(self, method, address, target, body, timeout_ms):
        self.calls.append((method, target, body))
        return expression.Ok(self.answers.pop(0))

    async def call(self, method, address, path, message, timeout_ms, headers, fresh):
        self.calls.append((path, message, headers))
        return expression.Ok(self.answers.pop(0))
