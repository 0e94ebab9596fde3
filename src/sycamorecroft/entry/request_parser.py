"""Parser of requests whose memory is bounded and counted."""

from waitress.buffers import BytesIOBasedBuffer
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.receiver import ChunkedReceiver
from waitress.utilities import (
    BadRequest,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
)

from sycamorecroft.entry.memory_budget import Charge

# A chunk's size and extensions; the size alone takes 16 digits at most.
CHUNK_LINE_LIMIT_BYTES = 1024
# The framing of chunks of one byte takes five bytes for each.
FRAMING_RATIO = 6
_HEAD_HELD_RATIO = 4
_FIELD_HELD_BYTES = 250
_LENGTH_DIGITS_COUNT = 18
_SMALL_BODY_BYTES = 4 * 1024
_SMALL_HEAD_BYTES = 1024
_SMALL_FIELDS_COUNT = 24


class BoundedChunkedReceiver(ChunkedReceiver):
    """Receiver of a chunked body that bounds lines, trailer and announced sizes."""

    def __init__(self, buffer: BytesIOBasedBuffer) -> None:
        super().__init__(buffer)
        self.trailer_limit_bytes = 0
        self.body_limit_bytes = 0
        self._raw_bytes = 0

    def received(self, data: bytes) -> int:
        consumed = super().received(data)
        self._raw_bytes += consumed
        if self.error is None:
            self.error = self._limit_error()
        return consumed

    def _limit_error(self) -> BadRequest | None:
        body_bytes = len(self)
        if body_bytes + self.chunk_remainder > self.body_limit_bytes:
            return RequestEntityTooLarge(
                f"a body has at most {self.body_limit_bytes} bytes"
            )
        if len(self.control_line) > CHUNK_LINE_LIMIT_BYTES:
            return BadRequest("the line before a chunk is too long")
        if len(self.trailer) > self.trailer_limit_bytes:
            return RequestHeaderFieldsTooLarge("the trailer is too long")
        framing_bytes = self._raw_bytes - body_bytes
        allowed_bytes = body_bytes * FRAMING_RATIO + self.trailer_limit_bytes
        if framing_bytes > allowed_bytes + CHUNK_LINE_LIMIT_BYTES:
            return BadRequest("chunks have too much framing")
        return None


class BoundedParser(HTTPRequestParser):
    """Request under way, or complete and not yet responded to.

    Bodies are kept in memory, since entry hosts have no disks.

    :ivar charge: part of the budget that the request holds; ``None`` for a request that
        holds nothing.
    """

    charge: Charge | None = None
    _fields_count = 0

    def parse_header(self, header_plus: bytes) -> None:
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            # A number with thousands of digits.
            raise ParsingError("Content-Length is invalid") from error
        self._fields_count = header_plus.count(b"\n")
        self._check_framing()
        if self.chunked:
            self.body_rcv = BoundedChunkedReceiver(BytesIOBasedBuffer())

    def _check_framing(self) -> None:
        """Refuses framing that another server may understand in another way."""
        length = self.headers.get("CONTENT_LENGTH")
        if length is not None and len(length) > _LENGTH_DIGITS_COUNT:
            raise ParsingError("Content-Length is invalid")
        if length is not None and self.chunked:
            raise ParsingError(
                "Content-Length and Transfer-Encoding exclude each other"
            )
        if self.version != "1.1" and "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding needs HTTP/1.1")

    def received(self, data: bytes) -> int:
        if self.completed:
            return 0
        if self.body_rcv is None:
            return self._receive_head(data)
        return self._receive_body(data)

    def _receive_body(self, data: bytes) -> int:
        receiver = self.body_rcv
        if self.chunked:
            # The limits in force may have changed since the last piece.
            receiver.trailer_limit_bytes = self.adj.max_request_header_size
            receiver.body_limit_bytes = self.adj.max_request_body_size - 1
        consumed = receiver.received(data)
        if receiver.error is not None:
            self.error = receiver.error
        elif self.content_length >= self.adj.max_request_body_size:
            self.error = self.limit_error()
        if self.error is not None or receiver.completed:
            self.completed = True
            if self.chunked:
                self.headers["CONTENT_LENGTH"] = str(len(receiver))
        return consumed

    def _receive_head(self, data: bytes) -> int:
        consumed = super().received(data)
        # The parser's own messages name its settings, which are one byte above the
        # limits.
        if isinstance(self.error, RequestHeaderFieldsTooLarge):
            limit_bytes = self.adj.max_request_header_size - 1
            self.error = RequestHeaderFieldsTooLarge(
                f"a head has at most {limit_bytes} bytes"
            )
        elif isinstance(self.error, RequestEntityTooLarge):
            # The limit may have been raised meanwhile, but the body isn't received.
            self.error = self.limit_error() or self.error
        if self.headers_finished:
            # Otherwise the text would be kept beside the fields.
            self.header_plus = b""
        return consumed

    def limit_error(self) -> RequestEntityTooLarge | None:
        """
        :returns: error if the announced length is beyond the limit in force.
        """
        limit_bytes = self.adj.max_request_body_size - 1
        if self.content_length <= limit_bytes:
            return None
        return RequestEntityTooLarge(f"a body has at most {limit_bytes} bytes")

    @property
    def body_bytes(self) -> int:
        """Bytes of the body so far."""
        receiver = self.body_rcv
        if receiver is None:
            return 0
        return len(receiver) if self.chunked else self.content_length - receiver.remain

    def is_small(self) -> bool:
        """
        :returns: whether the request certainly holds less than any connection may.
        """
        return (
            self.content_length <= _SMALL_BODY_BYTES
            and self.header_bytes_received <= _SMALL_HEAD_BYTES
            and self._fields_count <= _SMALL_FIELDS_COUNT
            and not self.chunked
        )

    def held_bytes(self) -> int:
        """
        :returns: memory that the request takes, copies of its fields included.
        """
        head_bytes = (
            self.header_bytes_received * _HEAD_HELD_RATIO
            + self._fields_count * _FIELD_HELD_BYTES
        )
        # The buffer of a body grows in steps of an eighth.
        return head_bytes + self.body_bytes * 9 // 8

    def has_unframed_body(self) -> bool:
        """
        :returns: whether what arrives next is a body without lines to parse.
        """
        receiver = self.body_rcv
        return receiver is not None and not self.chunked and receiver.remain > 0

    def close(self) -> None:
        super().close()
        if self.charge is not None:
            self.charge.release()
