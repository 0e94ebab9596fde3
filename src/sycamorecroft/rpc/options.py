"""gRPC channel options that clients and servers have in common."""

_MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024

# Large enough that a snapshot of 1,000 workers takes a single round trip.
_STREAM_WINDOW_BYTES = 1024 * 1024

TRANSPORT_OPTIONS = (
    ("grpc.max_receive_message_length", _MESSAGE_LIMIT_BYTES),
    # Probing the bandwidth-delay product doubles the wake-ups of gRPC's threads for
    # each message. Messages are small, so the window needs no adjustment.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", _STREAM_WINDOW_BYTES),
)
