"""Thread that calls the advice service for all services of an entry host."""

import queue
import threading
from collections.abc import Callable
from typing import NamedTuple

import structlog

from sycamorecroft.errors import PlatformError
from sycamorecroft.scheduling.advice import AdviceCalls, AdviceRequest, AdviceResult

_log = structlog.get_logger(__name__)


class _Request(NamedTuple):
    question: AdviceRequest
    on_result: Callable[[AdviceResult], object]


class AdviceRequester:
    """Calls the advice service in the order of the requests.

    Calls are made one at a time, since the service accepts only one concurrent call
    from each entry host.
    """

    def __init__(self, calls: AdviceCalls | None) -> None:
        """
        :param calls: client of the advice service; ``None`` if none is configured.
        """
        self._calls = calls
        self._requests: queue.SimpleQueue[_Request] = queue.SimpleQueue()

    def start(self) -> None:
        """Starts the thread if an advice service is configured."""
        if self._calls is not None:
            threading.Thread(target=self._run, name="advice", daemon=True).start()

    def ask(
        self, question: AdviceRequest, on_result: Callable[[AdviceResult], object]
    ) -> None:
        """Queues a question.

        :param on_result: called with the answer, which has no approvals if the service
            is unavailable or not configured.
        """
        if self._calls is None:
            on_result(AdviceResult(question, None))
            return
        self._requests.put(_Request(question, on_result))

    def _run(self) -> None:
        while True:
            request = self._requests.get()
            approvals = None
            try:
                approvals = self._calls.advise(
                    request.question.step.name, request.question.workers
                )
            except PlatformError as error:
                _log.info(
                    "advice_unavailable",
                    step=request.question.step.name,
                    workers_count=len(request.question.workers),
                    reason=str(error),
                )
            request.on_result(AdviceResult(request.question, approvals))
