"""Event loop on which all gRPC calls of a daemon run."""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

Result = TypeVar("Result")

_STOP_TIMEOUT_S = 2.0


class RpcLoop:
    """Event loop on a thread of its own.

    gRPC's synchronous streams wake ten times a second each while they wait, so their
    cost at rest would grow with the number of peers; asynchronous ones don't.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="rpc", daemon=True)
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, Result]) -> Future[Result]:
        """Runs a coroutine on the loop; callable from any thread.

        :returns: future of its result.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def call_soon(self, function: Callable[..., object], *arguments: object) -> None:
        """Calls a function on the loop; callable from any thread."""
        self._loop.call_soon_threadsafe(function, *arguments)

    def stop(self) -> None:
        """Cancels what still runs and ends the thread."""
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
