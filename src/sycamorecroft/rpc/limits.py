"""Limits of the gRPC server, which bound what callers make it hold."""

from sycamorecroft.rpc.options import TRANSPORT_OPTIONS

# Peers send tickets and digests, at most 4,000 tickets of 250 bytes. The large message,
# a snapshot, goes the other way.
MESSAGE_LIMIT_BYTES = 1024 * 1024
STREAM_WINDOW_BYTES = 64 * 1024
# Messages are small and arrive within some round trips.
MESSAGE_TIMEOUT_S = 2.0
HANDSHAKE_TIMEOUT_MS = 2000
# A peer keeps its slot stream open.
IDLE_TIMEOUT_MS = 2000
# A peer keeps one stream, and has one exchange of digests and one snapshot at a time.
STREAMS_PER_CONNECTION_COUNT = 8
_CALLS_PER_PEER_COUNT = 4
# A peer that restarts or whose link broke leaves its former connection behind.
_CONNECTIONS_PER_PEER_COUNT = 4
_SPARE_COUNT = 16


def calls_limit_count(peers_count: int) -> int:
    """
    :param peers_count: number of daemons that call this one.
    :returns: largest number of calls at a time.
    """
    return _CALLS_PER_PEER_COUNT * peers_count + _SPARE_COUNT


def server_options(peers_count: int) -> tuple[tuple[str, int], ...]:
    """
    :param peers_count: number of daemons that call this one.
    :returns: options of the server.
    """
    connections_count = _CONNECTIONS_PER_PEER_COUNT * peers_count + _SPARE_COUNT
    options = dict(TRANSPORT_OPTIONS) | {
        # With port reuse, two daemons on the same address would share its connections.
        "grpc.so_reuseport": 0,
        "grpc.max_receive_message_length": MESSAGE_LIMIT_BYTES,
        "grpc.http2.lookahead_bytes": STREAM_WINDOW_BYTES,
        "grpc.max_allowed_incoming_connections": connections_count,
        "grpc.max_concurrent_streams": STREAMS_PER_CONNECTION_COUNT,
        "grpc.server_handshake_timeout_ms": HANDSHAKE_TIMEOUT_MS,
        "grpc.max_connection_idle_ms": IDLE_TIMEOUT_MS,
    }
    return tuple(options.items())
