"""Worker in a process of its own, which writes what becomes of its runs to its output.

Usage: ``python -m standins.worker_process PORT TASK_S``

The worker starts when its input has a line with its Unix time of birth in milliseconds,
so that it can take the place of one that was killed at once.
"""

import json
import os
import sys
import time

from standins.memory_worker import MemoryWorker
from standins.worker_http import WorkerServer
from sycamorecroft.scheduling.calls import (
    OrderReply,
    RenewalReply,
    RunOutcome,
    StartOrder,
)

ADVANCE_INTERVAL_S = 0.01
STOP_S = 0.4


def _report(event: str, task: str = "", attempt: int = 0) -> None:
    """Writes an event, with the monotonic time in seconds, in one system call."""
    line = json.dumps([time.monotonic(), event, task, attempt]) + "\n"
    os.write(sys.stdout.fileno(), line.encode())


class ReportingWorker(MemoryWorker):
    """Worker that reports starts, ends, and acknowledgements.

    ``done`` and ``over`` are ends, ``noted`` is the acknowledgement of one as done, and
    ``ahead`` one of a number that no end has had yet.
    """

    def start(self, order: StartOrder, epoch: int) -> OrderReply:
        starts_count = len(self.started)
        reply = super().start(order, epoch)
        if len(self.started) > starts_count:
            _report("start", order.task, order.attempt)
        return reply

    def finish(self, task: str, outcome: RunOutcome, checkpoint: str = "") -> None:
        attempt = self.running[task]
        super().finish(task, outcome, checkpoint)
        event = "done" if outcome is RunOutcome.DONE else "over"
        _report(event, task, attempt)

    def list_runs(self, acknowledged: int) -> RenewalReply:
        if acknowledged > self._last_finished_number:
            _report("ahead", attempt=acknowledged)
        for end in self._finished:
            if end.number <= acknowledged and end.outcome is RunOutcome.DONE:
                _report("noted", end.task, end.attempt)
        return super().list_runs(acknowledged)


def main() -> None:
    """Runs the worker until its process is killed."""
    port, task_s = sys.argv[1:]
    born_ms = int(sys.stdin.readline())
    server = WorkerServer(
        int(port),
        task_duration_s=float(task_s),
        stop_s=STOP_S,
        worker=ReportingWorker(born_ms),
    )
    _report("up")
    parent = os.getppid()
    while os.getppid() == parent:
        time.sleep(ADVANCE_INTERVAL_S)
        server.advance()


if __name__ == "__main__":
    main()
