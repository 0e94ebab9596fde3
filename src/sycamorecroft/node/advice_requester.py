"""Thread that calls the advice service for all services of an entry host."""

import queue
import threading
from collections.abc import Callable
from typing import NamedTuple

import structlog

from sycamorecroft.errors import PlatformError
from sycamorecroft.scheduling.advice import (
    AdviceCalls,
    AdviceRequest,
    AdviceResult,
    Approvals,
)

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
            question = request.question
            try:
                request.on_result(AdviceResult(question, self._advise(question)))
            except Exception:
                # Without this thread no step of a queue with advice would start.
                _log.exception("advice_result_not_applied", step=question.step.name)

    def _advise(self, question: AdviceRequest) -> Approvals | None:
        """Returns ``None`` if the service gave no answer."""
        try:
            return self._calls.advise(question.step.name, question.workers)
        except PlatformError as error:
            reason = str(error)
        except Exception as error:
            _log.exception("advice_call_aborted", step=question.step.name)
            reason = repr(error)
        _log.info(
            "advice_unavailable",
            step=question.step.name,
            workers_count=len(question.workers),
            reason=reason,
        )
        return None
