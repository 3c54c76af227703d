"""Stand-in for a plain service; it records each run when the call takes effect."""

import sys

import msgspec

from teaselwall import errors, responses
from teaselwall.generated import messages
from teaselwall.tools import backends


class Plain(backends.Backend):
    """Runs every call it gets, repeated ones too; its runs show which key ran twice."""

    async def work(self, body, send):
        """Take effect after half of the service time and answer at its end.

        Raises
        ------
        errors.ServerFailed
            When the ``lose_replies`` fault loses the reply.
        """
        call = msgspec.json.decode(body, type=messages.StageCall)
        await self.clock.sleep_ms(self.service_ms * self.slowdown() / 2)
        self.runs.append(
            {
                "key": call.key,
                "request": call.request,
                "organisation": call.organisation,
            }
        )
        await self.clock.sleep_ms(self.service_ms * self.slowdown() / 2)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            raise errors.ServerFailed(
                "The stand-in's lose_replies fault lost the reply."
            )
        output = {"receipt": f"{call.key}/{len(self.runs)}"}
        reply = messages.StageReply(
            request=call.request, attempt=call.attempt, output=output
        )
        await responses.send_json(send, reply, headers=[self.load_header()])


def main():
    """Run the stand-in until SIGTERM."""
    arguments = backends.parser(__doc__).parse_args()
    plain = Plain(arguments.capacity, arguments.service_ms, arguments.warm)
    backends.standins.run(plain, arguments.listen)


if __name__ == "__main__":
    sys.exit(main())
