"""Thread that asks the advice service, one call at a time for each host."""

import queue
import threading
from collections.abc import Callable
from typing import NamedTuple

import structlog

from sycamorecroft.errors import PlatformError
from sycamorecroft.scheduling.advice import AdviceCalls, AdviceResult, AskAdvice

_log = structlog.get_logger(__name__)


class _Question(NamedTuple):
    question: AskAdvice
    tell: Callable[[AdviceResult], object]


class AdviceRequester:
    """Asks in order of arrival; the service takes one call of a host at a time."""

    def __init__(self, calls: AdviceCalls | None) -> None:
        """
        :param calls: ``None`` where there is no advice service.
        """
        self._calls = calls
        self._questions: queue.SimpleQueue[_Question] = queue.SimpleQueue()

    def start(self) -> None:
        """Starts the thread, if there is a service."""
        if self._calls is not None:
            threading.Thread(target=self._run, name="advice", daemon=True).start()

    def ask(self, question: AskAdvice, tell: Callable[[AdviceResult], object]) -> None:
        """Queues a question.

        :param tell: takes the answer.
        """
        if self._calls is None:
            tell(AdviceResult(question, None))
            return
        self._questions.put(_Question(question, tell))

    def _run(self) -> None:
        while True:
            item = self._questions.get()
            approvals = None
            try:
                approvals = self._calls.advise(
                    item.question.step.name, item.question.workers
                )
            except PlatformError as error:
                _log.info(
                    "advice_not_had",
                    step=item.question.step.name,
                    workers_count=len(item.question.workers),
                    reason=str(error),
                )
            item.tell(AdviceResult(item.question, approvals))
