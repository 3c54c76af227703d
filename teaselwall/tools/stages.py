"""Stand-in for an encoder, retriever or reranker server."""

import sys

import msgspec
import xxhash

from teaselwall import responses
from teaselwall.generated import messages
from teaselwall.tools import backends


def output_of(stage, inputs):
    """Return the output of a stage for its inputs; all servers agree."""
    digest = xxhash.xxh3_64_hexdigest(msgspec.json.encode(inputs))
    return {"stage": stage, "digest": digest}


class Stage(backends.Backend):
    """Answers each call with a digest of its inputs."""

    async def work(self, body, send):
        """Answer after the service time, lengthened by the slowdown."""
        call = msgspec.json.decode(body, type=messages.StageCall)
        await self.clock.sleep_ms(self.service_ms * self.slowdown())
        output = output_of(call.stage, call.inputs)
        reply = messages.StageReply(
            request=call.request, attempt=call.attempt, output=output
        )
        await responses.send_json(send, reply, headers=[self.load_header()])


def main():
    """Run the stand-in until SIGTERM."""
    arguments = backends.parser(__doc__).parse_args()
    stage = Stage(arguments.capacity, arguments.service_ms, arguments.warm)
    backends.standins.run(stage, arguments.listen)


if __name__ == "__main__":
    sys.exit(main())
