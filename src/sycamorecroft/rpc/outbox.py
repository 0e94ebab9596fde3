"""Queue of batches for one stream; batches that wait are sent as one message."""

from collections.abc import Callable, Iterator, Sequence
from queue import Empty, SimpleQueue
from typing import Generic, TypeVar

Batch = TypeVar("Batch")

# Bounds the size of one message; far above what one round of decisions produces.
_MERGE_LIMIT_COUNT = 256


class Outbox(Generic[Batch]):
    """Unbounded queue from actors to the thread that writes a stream.

    :param merge: joins waiting batches into one.
    """

    def __init__(self, merge: Callable[[Sequence[Batch]], Batch]) -> None:
        self._merge = merge
        self._queue: SimpleQueue[Batch | None] = SimpleQueue()

    def put(self, batch: Batch) -> None:
        """Adds a batch; never blocks."""
        self._queue.put(batch)

    def close(self) -> None:
        """Ends the iteration after the batches that wait."""
        self._queue.put(None)

    def batches(self) -> Iterator[Batch]:
        """
        :returns: joined batches until the outbox is closed.
        """
        while (first := self._queue.get()) is not None:
            waiting = [first]
            closed = self._drain(waiting)
            yield waiting[0] if len(waiting) == 1 else self._merge(waiting)
            if closed:
                return

    def _drain(self, waiting: list[Batch]) -> bool:
        while len(waiting) < _MERGE_LIMIT_COUNT:
            try:
                batch = self._queue.get_nowait()
            except Empty:
                return False
            if batch is None:
                return True
            waiting.append(batch)
        return False
