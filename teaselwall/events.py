"""Structured log lines: one JSON object per event."""

import logging

import msgspec
from absl import logging as absl_logging

MS_PER_S = 1000
_encoder = msgspec.json.Encoder()


class JsonFormatter(logging.Formatter):
    """Format a record as one line of JSON.

    Parameters
    ----------
    host : str
        Name of this entry host.
    """

    def __init__(self, host=""):
        super().__init__()
        self.host = host

    def format(self, record):
        """Return the record's line."""
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
    """Send every logger's lines through absl's handler as JSON.

    Parameters
    ----------
    verbosity : int
    stream : file, optional
        Where they go; standard error if it is not given.
    host : str
        Name of this entry host, in every line.
    """
    absl_logging.use_absl_handler()
    if stream is not None:
        absl_logging.get_absl_handler().python_handler.stream = stream
    absl_logging.get_absl_handler().setFormatter(JsonFormatter(host))
    absl_logging.set_verbosity(verbosity)
    logging.getLogger("hypercorn.error").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)


def log(logger, level, event, **fields):
    """Write one event with its fields.

    Parameters
    ----------
    logger : logging.Logger
    level : int
    event : str
        Constant name of the event.
    **fields
        Values that JSON can carry.
    """
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={"fields": fields})
