"""Stand-in process that serves the platform over HTTP on loopback.

Run as ``python -m standins.platform_service --port 8100``. Prints ``ready ADDRESS``
once it accepts connections.
"""

import argparse
import contextlib
import logging

import waitress
from waitress import wasyncore

from standins.memory_platform import MemoryPlatform
from standins.platform_application import PlatformApplication

# A delayed call occupies a thread; 9 daemons have up to 16 connections each.
THREADS_COUNT = 192
CONNECTIONS_COUNT = 1000

# Bodies up to this size are kept in memory instead of temporary files, as on the
# diskless entry hosts.
BUFFER_BYTES = 64 * 1024 * 1024


class PlatformServer:
    """HTTP server of a platform on 127.0.0.1.

    :param port: port to listen on; 0 selects a free port.
    """

    def __init__(
        self,
        platform: MemoryPlatform,
        *,
        port: int = 0,
        threads_count: int = THREADS_COUNT,
    ) -> None:
        # waitress would log each lost response as a disconnected client.
        logging.getLogger("waitress").setLevel(logging.ERROR)
        self._server = waitress.create_server(
            PlatformApplication(platform),
            host="127.0.0.1",
            port=port,
            threads=threads_count,
            connection_limit=CONNECTIONS_COUNT,
            inbuf_overflow=BUFFER_BYTES,
            outbuf_overflow=BUFFER_BYTES,
            # By default waitress uses select(), which fails from descriptor 1024 on.
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
        """Ends :meth:`run` after calls in progress. May be called by any thread.

        Sockets are closed by the thread that polls them: if another thread closed them,
        their descriptors could be reused by new files while they are still polled.
        """
        self._server.task_dispatcher.shutdown()
        # A response may wake the polling thread, which may then close the trigger
        # before this thread has written to it.
        with contextlib.suppress(OSError):
            self._server.trigger.pull_trigger(self._close_sockets)

    def _close_sockets(self) -> None:
        wasyncore.close_all(self._server._map)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="stand-in for the platform")
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
