"""Send queue of a stream that merges pending batches into one message."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Generic, TypeVar

from sycamorecroft.rpc.loop import RpcLoop

Batch = TypeVar("Batch")

# Bounds the size of a message; far more batches than one round of decisions produces.
_MERGE_LIMIT_COUNT = 256


class Outbox(Generic[Batch]):
    """Unbounded queue between actors and a stream that is written on the event loop.

    :param merge: merges pending batches into one.
    """

    def __init__(
        self, loop: RpcLoop, merge: Callable[[Sequence[Batch]], Batch]
    ) -> None:
        self._loop = loop
        self._merge = merge
        self._queue: asyncio.Queue[Batch | None] = asyncio.Queue()

    def put(self, batch: Batch) -> None:
        """Appends a batch without blocking; callable from any thread."""
        self._loop.call_soon(self._queue.put_nowait, batch)

    def close(self) -> None:
        """Ends the iteration after the pending batches."""
        self._loop.call_soon(self._queue.put_nowait, None)

    async def batches(self) -> AsyncIterator[Batch]:
        """Waits for batches and merges those pending.

        :returns: merged batches until the outbox is closed.
        """
        while (first := await self._queue.get()) is not None:
            pending = [first]
            is_closed = self._take_pending(pending)
            yield pending[0] if len(pending) == 1 else self._merge(pending)
            if is_closed:
                return

    def _take_pending(self, pending: list[Batch]) -> bool:
        while len(pending) < _MERGE_LIMIT_COUNT and not self._queue.empty():
            batch = self._queue.get_nowait()
            if batch is None:
                return True
            pending.append(batch)
        return False
