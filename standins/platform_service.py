"""Process that plays the platform over HTTP on loopback.

Run as ``python -m standins.platform_service --port 8100``. Prints ``ready ADDRESS``
once it listens.
"""

import argparse
import contextlib
import logging

import waitress
from waitress import wasyncore

from standins.memory_platform import MemoryPlatform
from standins.platform_application import PlatformApplication

# A delayed call holds a thread; 9 daemons have up to 16 connections each.
THREADS_COUNT = 192
CONNECTIONS_COUNT = 1000

# Bodies stay in memory, as on the entry hosts.
BUFFER_BYTES = 64 * 1024 * 1024


class PlatformServer:
    """Serves a platform on 127.0.0.1.

    :param port: 0 takes a free port.
    """

    def __init__(
        self,
        platform: MemoryPlatform,
        *,
        port: int = 0,
        threads_count: int = THREADS_COUNT,
    ) -> None:
        # A lost response is logged by waitress as a client that went away.
        logging.getLogger("waitress").setLevel(logging.ERROR)
        self._server = waitress.create_server(
            PlatformApplication(platform),
            host="127.0.0.1",
            port=port,
            threads=threads_count,
            connection_limit=CONNECTIONS_COUNT,
            inbuf_overflow=BUFFER_BYTES,
            outbuf_overflow=BUFFER_BYTES,
            # Without it waitress uses select(), which fails on the 1,024th descriptor.
            asyncore_use_poll=True,
        )

    @property
    def address(self) -> str:
        """Address as ``ip:port``."""
        return f"127.0.0.1:{self._server.effective_port}"

    def run(self) -> None:
        """Serves until :meth:`close`."""
        self._server.run()

    def close(self) -> None:
        """Ends :meth:`run`, from any thread; waits for calls in progress.

        Sockets are closed by the thread that polls them: closed by another thread,
        their descriptors could be taken by new files while they are still polled.
        """
        self._server.task_dispatcher.shutdown()
        # Woken by a response, the polling thread may close the trigger before this
        # thread has written to it.
        with contextlib.suppress(OSError):
            self._server.trigger.pull_trigger(self._close_sockets)

    def _close_sockets(self) -> None:
        wasyncore.close_all(self._server._map)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="stand-in of the platform")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--reboot-s", type=float, default=30.0)
    parser.add_argument("--host-list-lag-s", type=float, default=5.0)
    parser.add_argument("--usage-lag-s", type=float, default=10.0)
    return parser.parse_args()


def main() -> None:
    arguments = _parse_arguments()
    platform = MemoryPlatform(
        host_list_lag_s=arguments.host_list_lag_s,
        usage_lag_s=arguments.usage_lag_s,
        reboot_s=arguments.reboot_s,
        timeout_s=None,
    )
    server = PlatformServer(platform, port=arguments.port)
    print(f"ready {server.address}", flush=True)
    server.run()


if __name__ == "__main__":
    main()
