"""Structured logs: JSON lines, one event name and typed fields with units."""

import logging
import sys

import structlog


def configure_logs(level: str, entry: str) -> None:
    """Sends logs of this process to standard error as JSON lines.

    :param level: name of the lowest level that is written, such as ``info``.
    :param entry: name of this entry host, added to each line.
    """
    minimum = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(ensure_ascii=False),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(minimum),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(entry=entry)
    # waitress logs a line for each task that waits for a thread.
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
