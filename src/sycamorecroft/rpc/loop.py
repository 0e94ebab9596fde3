"""Event loop that runs all gRPC calls of a daemon."""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

Result = TypeVar("Result")

_STOP_TIMEOUT_S = 2.0


class RpcLoop:
    """Asyncio event loop on a dedicated thread.

    A synchronous gRPC stream wakes up ten times a second while it waits, so the idle
    cost would grow with the number of peers. Asynchronous streams avoid this.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="rpc", daemon=True)
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, Result]) -> Future[Result]:
        """Schedules a coroutine on the loop; callable from any thread.

        :returns: future of the result of ``coroutine``.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def call_soon(self, function: Callable[..., object], *arguments: object) -> None:
        """Schedules a function call on the loop; callable from any thread."""
        self._loop.call_soon_threadsafe(function, *arguments)

    def stop(self) -> None:
        """Cancels all running tasks and ends the thread."""
        self._loop.call_soon_threadsafe(self._cancel_tasks)
        self._thread.join(_STOP_TIMEOUT_S)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        gathered.add_done_callback(lambda _: self._loop.stop())
