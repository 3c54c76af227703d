"""Structured log lines: one JSON object per event."""

import logging

import msgspec
from absl import logging as absl_logging

_encoder = msgspec.json.Encoder()


class JsonFormatter(logging.Formatter):
    """Format a record as one line of JSON."""

    def format(self, record):
        """Return the record's line."""
        fields = {
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return _encoder.encode(fields).decode()


def configure(verbosity=absl_logging.INFO):
    """Send every logger's lines through absl's handler as JSON."""
    absl_logging.use_absl_handler()
    absl_logging.get_absl_handler().setFormatter(JsonFormatter())
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
