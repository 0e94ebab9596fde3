"""Options of the transport that both ends of a connection share."""

_MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024

# A snapshot of 1,000 workers fits into one window, so that it takes one round trip.
_STREAM_WINDOW_BYTES = 1024 * 1024

TRANSPORT_OPTIONS = (
    ("grpc.max_receive_message_length", _MESSAGE_LIMIT_BYTES),
    # The probes of the bandwidth-delay product double the wake-ups of gRPC's threads
    # for each message. Messages are small, so the window needs no adjustment.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", _STREAM_WINDOW_BYTES),
)
