"""Structured logging: JSON lines with an event name and fields named with units."""

import collections
import logging
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import TextIO

import structlog

LINES_LIMIT_COUNT = 4000

_is_dropping: ContextVar[bool] = ContextVar("is_dropping", default=False)


@contextmanager
def dropped_logs() -> Iterator[None]:
    """Drops the log lines of a node's thread, which tell of decisions not taken."""
    token = _is_dropping.set(True)
    try:
        yield
    finally:
        _is_dropping.reset(token)


def drop_if_asked(logger: object, method: str, event: dict) -> dict:
    """Processor that drops the lines within :func:`dropped_logs`."""
    del logger, method
    if _is_dropping.get():
        raise structlog.DropEvent
    return event


class LineWriter:
    """Writes log lines on a background thread, so that logging never blocks.

    At most ``limit_count`` lines are queued. Further lines are dropped and counted; the
    count is logged once the stream accepts lines again.
    """

    def __init__(self, stream: TextIO, limit_count: int = LINES_LIMIT_COUNT) -> None:
        self._stream = stream
        self._limit_count = limit_count
        self._changed = threading.Condition()
        self._lines: collections.deque[str] = collections.deque()
        self._unreported_count = 0
        self._is_writing = False
        self.dropped_count = 0

    def start(self) -> None:
        """Starts the background thread."""
        threading.Thread(target=self._run, name="logs", daemon=True).start()

    def write_line(self, line: str) -> None:
        """Queues a line, or drops it when the queue is full."""
        with self._changed:
            if len(self._lines) >= self._limit_count:
                self.dropped_count += 1
                self._unreported_count += 1
                return
            self._lines.append(line)
            self._changed.notify()

    # structlog calls the method named after the log level.
    msg = log = debug = info = warning = error = critical = exception = write_line
    warn = fatal = failure = err = write_line

    def flush(self, timeout_s: float) -> None:
        """Waits up to ``timeout_s`` seconds until all queued lines are written."""
        with self._changed:
            self._changed.wait_for(
                lambda: not self._lines and not self._is_writing, timeout_s
            )

    def _run(self) -> None:
        while True:
            text = self._next_text()
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # The stream is closed, and there is no other place to report that.
                return
            with self._changed:
                self._is_writing = False
                self._changed.notify_all()

    def _next_text(self) -> str:
        with self._changed:
            self._changed.wait_for(lambda: bool(self._lines))
            lines = list(self._lines)
            self._lines.clear()
            self._is_writing = True
            if self._unreported_count:
                count = self._unreported_count
                lines.append(f'{{"event": "log_lines_dropped", "count": {count}}}')
                self._unreported_count = 0
        return "".join(line + "\n" for line in lines)


def configure_node_logs(level: str, entry_host: str) -> LineWriter:
    """Configures a node to log JSON lines to standard output without blocking.

    :param level: name of the lowest level that is logged, such as ``info``.
    :param entry_host: name of this entry host, added to each line.
    :returns: the writer, which must be flushed before the process exits.
    """
    minimum = logging.getLevelNamesMapping()[level.upper()]
    writer = LineWriter(sys.stdout)
    writer.start()

    def add_entry_host(logger: object, method: str, event: dict) -> dict:
        del logger, method
        event["host"] = entry_host
        return event

    structlog.configure(
        processors=[
            drop_if_asked,
            add_entry_host,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(ensure_ascii=False),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(minimum),
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=True,
    )
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    return writer


def configure_logs(level: str, entry_host: str) -> None:
    """Configures this process to log JSON lines to standard error.

    :param level: name of the lowest level that is logged, such as ``info``.
    :param entry_host: name of this entry host, added to each line.
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
    structlog.contextvars.bind_contextvars(entry=entry_host)
    # waitress logs a warning for each task that is queued for a thread.
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
