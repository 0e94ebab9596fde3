"""Queue of batches for one stream; batches that wait are sent as one message."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Generic, TypeVar

from sycamorecroft.rpc.loop import RpcLoop

Batch = TypeVar("Batch")

# Bounds the size of one message; far above what one round of decisions produces.
_MERGE_LIMIT_COUNT = 256


class Outbox(Generic[Batch]):
    """Unbounded queue from actors to the stream that the loop writes.

    :param merge: joins waiting batches into one.
    """

    def __init__(
        self, loop: RpcLoop, merge: Callable[[Sequence[Batch]], Batch]
    ) -> None:
        self._loop = loop
        self._merge = merge
        self._queue: asyncio.Queue[Batch | None] = asyncio.Queue()

    def put(self, batch: Batch) -> None:
        """Adds a batch; never blocks; callable from any thread."""
        self._loop.call_soon(self._queue.put_nowait, batch)

    def close(self) -> None:
        """Ends the iteration after the batches that wait."""
        self._loop.call_soon(self._queue.put_nowait, None)

    async def batches(self) -> AsyncIterator[Batch]:
        """
        :returns: joined batches until the outbox is closed.
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
