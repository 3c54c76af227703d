"""Structured logging: each event is one line of JSON."""

import logging

import msgspec
from absl import logging as absl_logging

MS_PER_S = 1000
_encoder = msgspec.json.Encoder()


class JsonFormatter(logging.Formatter):
    """Formats a log record as one line of JSON.

    Parameters
    ----------
    host : str
        Name of this entry host, written into every line.
    """

    def __init__(self, host=""):
        super().__init__()
        self.host = host

    def format(self, record):
        """Return the line of a log record."""
        fields = {
            "time_ms": round(record.created * MS_PER_S),
            "level": record.levelname.lower(),
            "logger": record.name,
            "host": self.host,
            "event": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return _encoder.encode(fields).decode()


def configure(verbosity=absl_logging.INFO, stream=None, host=""):
    """Make all loggers write JSON lines through absl's handler.

    Parameters
    ----------
    verbosity : int
        Verbosity of absl.
    stream : file, optional
        File-like object that the lines are written to; standard error by default.
    host : str
        Name of this entry host, written into every line.
    """
    absl_logging.use_absl_handler()
    if stream is not None:
        absl_logging.get_absl_handler().python_handler.stream = stream
    absl_logging.get_absl_handler().setFormatter(JsonFormatter(host))
    absl_logging.set_verbosity(verbosity)
    logging.getLogger("hypercorn.error").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)


def log(logger, level, event, **fields):
    """Log one event with its fields.

    Parameters
    ----------
    logger : logging.Logger
    level : int
    event : str
        Name of the event, without variable parts.
    **fields
        Values that can be encoded as JSON.
    """
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={"fields": fields})
