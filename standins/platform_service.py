"""Process that plays the platform over HTTP on loopback.

Run as ``python -m standins.platform_service --port 8100``. Prints ``ready ADDRESS``
once it listens.
"""

import argparse
import logging

import waitress
from waitress.server import BaseWSGIServer

from standins.memory_platform import MemoryPlatform
from standins.platform_application import PlatformApplication

# A delayed call holds a thread; 9 daemons have up to 16 connections each.
THREADS_COUNT = 192
CONNECTIONS_COUNT = 1000

# Bodies stay in memory, as on the entry hosts.
BUFFER_BYTES = 64 * 1024 * 1024


def create_platform_server(
    platform: MemoryPlatform, *, port: int = 0, threads_count: int = THREADS_COUNT
) -> BaseWSGIServer:
    """
    :param port: port on 127.0.0.1; 0 takes a free one (``effective_port``).
    :returns: a server that listens; ``run()`` serves until ``close()``.
    """
    # A lost response is logged by waitress as a client that went away.
    logging.getLogger("waitress").setLevel(logging.ERROR)
    return waitress.create_server(
        PlatformApplication(platform),
        host="127.0.0.1",
        port=port,
        threads=threads_count,
        connection_limit=CONNECTIONS_COUNT,
        inbuf_overflow=BUFFER_BYTES,
        outbuf_overflow=BUFFER_BYTES,
    )


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
    server = create_platform_server(platform, port=arguments.port)
    print(f"ready 127.0.0.1:{server.effective_port}", flush=True)
    server.run()


if __name__ == "__main__":
    main()
