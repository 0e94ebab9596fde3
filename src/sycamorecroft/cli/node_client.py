"""Client of the interface through which nodes explain placements."""

import contextlib
import threading
import time
from collections.abc import Iterator, Sequence
from http import HTTPStatus
from queue import Empty, SimpleQueue
from typing import NamedTuple

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError, TimeoutError

from sycamorecroft.explanations.messages import (
    EXPLAIN_PLACEMENT_PATH,
    ExplainFailure,
    ExplainOutcome,
    ExplainReply,
    ExplainRequest,
)

# Nodes that are asked at a time.
CALLS_COUNT = 16
# An answer is at most this large: it lists a few entries of each kind.
REPLY_LIMIT_BYTES = 1_000_000
RETRY_AFTER_S = 1.0
# After an explanation, time for a node to answer that has a later claim of the service.
LATER_CLAIM_WAIT_S = 0.5


class NodeAnswer(NamedTuple):
    """Answer of a node; without ``reply``, ``problem`` says why there is none."""

    url: str
    reply: ExplainReply | None
    problem: str = ""
    status: int = 0


class NodeClient:
    """Asks nodes about a placement, until the owner of the service has answered.

    :param urls: base URLs of the nodes' listen addresses for metrics.
    :param timeout_s: longest time until all answers are in.
    """

    def __init__(self, urls: Sequence[str], token: str, timeout_s: float) -> None:
        self._urls = urls
        self._timeout_s = timeout_s
        self._headers = {
            "Content-Type": "application/json",
            "Authorization": f"Bearer {token}",
        }
        self._http = urllib3.PoolManager(retries=False)

    def ask(self, request: ExplainRequest) -> list[NodeAnswer]:
        """
        :returns: the answers that came until the owner's did or the time was over; the
            owner's is the last one. Nodes that haven't answered are listed with that.
        """
        body = msgspec.json.encode(request)
        end_s = time.monotonic() + self._timeout_s
        left: SimpleQueue[str] = SimpleQueue()
        for url in self._urls:
            left.put(url)
        done: SimpleQueue[NodeAnswer] = SimpleQueue()
        for _ in range(min(CALLS_COUNT, len(self._urls))):
            # Daemon threads, since the process must not wait for silent nodes.
            arguments = (left, done, body, end_s)
            threading.Thread(target=self._work, args=arguments, daemon=True).start()
        answers = list(_collect(done, len(self._urls), end_s))
        answered = {answer.url for answer in answers}
        silent = [
            NodeAnswer(url, None, f"no answer in {self._timeout_s:g} s")
            for url in self._urls
            if url not in answered and not _is_decided(answers)
        ]
        return sorted([*silent, *answers], key=_rank)

    def _work(
        self,
        left: SimpleQueue[str],
        done: SimpleQueue[NodeAnswer],
        body: bytes,
        end_s: float,
    ) -> None:
        with contextlib.suppress(Empty):
            while time.monotonic() < end_s:
                done.put(self._call(left.get_nowait(), body, end_s))

    def _call(self, url: str, body: bytes, end_s: float) -> NodeAnswer:
        while True:
            answer = self._call_once(url, body, end_s)
            is_repeated = answer.status == HTTPStatus.TOO_MANY_REQUESTS
            if not is_repeated or time.monotonic() + RETRY_AFTER_S >= end_s:
                return answer
            time.sleep(RETRY_AFTER_S)

    def _call_once(self, url: str, body: bytes, end_s: float) -> NodeAnswer:
        timeout_s = max(0.1, end_s - time.monotonic())
        try:
            response = self._http.request(
                "POST",
                url.rstrip("/") + EXPLAIN_PLACEMENT_PATH,
                body=body,
                headers=self._headers,
                timeout=urllib3.Timeout(total=timeout_s),
                redirect=False,
                preload_content=False,
            )
            with response:
                data = response.read(REPLY_LIMIT_BYTES)
        except NewConnectionError:
            return NodeAnswer(url, None, "no connection, its process or host is down")
        except TimeoutError:
            return NodeAnswer(url, None, f"no answer in {self._timeout_s:g} s")
        except HTTPError as error:
            return NodeAnswer(url, None, str(error))
        return _decode(url, response.status, data)


def _collect(
    done: SimpleQueue[NodeAnswer], count: int, end_s: float
) -> Iterator[NodeAnswer]:
    """Yields answers until the time is over, or shortly after that of an owner."""
    for _ in range(count):
        try:
            answer = done.get(timeout=max(0.0, end_s - time.monotonic()))
        except Empty:
            return
        yield answer
        if _is_decided([answer]):
            end_s = min(end_s, time.monotonic() + LATER_CLAIM_WAIT_S)


def _is_decided(answers: Sequence[NodeAnswer]) -> bool:
    """Returns whether an answer says what would happen to the job."""
    decided = (ExplainOutcome.EXPLAINED, ExplainOutcome.REFUSED)
    return any(a.reply is not None and a.reply.outcome in decided for a in answers)


_RANKS = {
    ExplainOutcome.NOT_OWNER: 1,
    ExplainOutcome.NO_SUCH_JOB: 2,
    ExplainOutcome.REFUSED: 3,
    ExplainOutcome.EXPLAINED: 4,
}


def _rank(answer: NodeAnswer) -> tuple[int, int]:
    """Returns the key by which the best answer is the last one.

    That is the owner's with the latest claim, or what the node with the latest
    configuration says.
    """
    reply = answer.reply
    if reply is None:
        return 0, 0
    version = reply.node.configuration_version
    epoch = reply.placement.epoch if reply.placement is not None else version
    return _RANKS[reply.outcome], epoch


def _decode(url: str, status: int, data: bytes) -> NodeAnswer:
    try:
        if status == HTTPStatus.OK:
            reply = msgspec.json.decode(data, type=ExplainReply)
            return NodeAnswer(url, reply, status=status)
        failure = msgspec.json.decode(data, type=ExplainFailure)
    except msgspec.MsgspecError as error:
        problem = f"malformed answer with status {status}: {error}"
        return NodeAnswer(url, None, problem, status)
    if status == HTTPStatus.NOT_FOUND:
        problem = "it explains no placements: operator_token isn't set there"
        return NodeAnswer(url, None, problem, status)
    return NodeAnswer(url, None, failure.message, status)
