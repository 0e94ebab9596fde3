"""Connection of a client: reads, parses and refuses within the limits in force."""

import contextlib
import select
import socket
from typing import TYPE_CHECKING

from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from sycamorecroft.entry.eviction import (
    CloseReason,
    ConnectionView,
    Phase,
    timeout_reason,
)
from sycamorecroft.entry.memory_budget import CONNECTION_ALLOWANCE_BYTES, Charge
from sycamorecroft.entry.parse_allowance import is_costly
from sycamorecroft.entry.refusal import (
    BODY_OVERDUE,
    HEAD_OVERDUE,
    NO_MEMORY,
    Refusal,
    parser_refusal,
)
from sycamorecroft.entry.request_parser import BoundedParser

if TYPE_CHECKING:
    from sycamorecroft.entry.listener import Listener

# What one connection has parsed at once, if it is costly.
SLICE_BYTES = 4096
_HEAD_END = b"\r\n\r\n"
_READ_BYTES = 64 * 1024
# A client that sends this much after its refusal isn't going to read it.
DISCARDED_LIMIT_BYTES = 4 * 1024 * 1024

_REFUSALS = {
    CloseReason.HEADER_TIMEOUT: HEAD_OVERDUE,
    CloseReason.BODY_TIMEOUT: BODY_OVERDUE,
}


class Task(WSGITask):
    """Request that is handled.

    Once a planned stop has started, the response closes the connection. The request is
    treated as if the caller had sent ``Connection: close``, since a WSGI application
    must not set this header in its response.
    """

    def build_response_header(self) -> bytes:
        if self.channel.closes_after_response():
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


class Channel(HTTPChannel):
    """Connection of a client.

    One request at a time is parsed; what was received beyond it waits. All methods but
    those that waitress calls for tasks run on the polling thread.

    :ivar is_deferred: whether received bytes wait for the allowance to parse them.
    """

    task_class = Task
    parser_class = BoundedParser
    server: "Listener"

    def __init__(self, server: "Listener", sock, addr, adj, map=None) -> None:
        now_s = server.clock.monotonic_s()
        self.is_deferred = False
        self._deferred_s = now_s
        self._is_with_worker = False
        self._is_parked = False
        self._has_served = False
        self._drops_requests = False
        self._is_refused = False
        self._unparsed = b""
        self._started_s = now_s
        self._progress_s = now_s
        self._idle_since_s = now_s
        self._received_bytes = 0
        self._lines_count = 0
        self._input_charge: Charge | None = None
        self._output_charge: Charge | None = None
        super().__init__(server, sock, addr, adj, map=map)

    # State

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""
        if self._is_refused:
            return Phase.REFUSED
        if self.requests and not self._is_blocked():
            return Phase.HANDLED
        if self.total_outbufs_len:
            return Phase.SENDING
        request = self.request
        if request is not None and request.headers_finished:
            return Phase.BODY
        if request is not None or self._received_bytes or self._unparsed:
            return Phase.HEAD
        return Phase.KEPT if self._has_served else Phase.OPENED

    def _is_blocked(self) -> bool:
        """Returns whether a worker waits until more of its response was sent."""
        return self.total_outbufs_len > self.adj.outbuf_high_watermark

    @property
    def descriptor(self) -> int:
        """File descriptor of the connection, -1 once it is closed."""
        return -1 if self._fileno is None else self._fileno

    def view(self) -> ConnectionView:
        """
        :returns: what decisions need to know of the connection.
        """
        request = self.request
        charges = (
            self._input_charge,
            self._output_charge,
            request.charge if request is not None else None,
        )
        return ConnectionView(
            self.phase,
            self._started_s,
            self._progress_s,
            self._received_bytes,
            sum(charge.size_bytes for charge in charges if charge is not None),
            self.is_deferred,
        )

    def park(self) -> bool:
        """Stops waiting for input while a worker has a request.

        Most clients send nothing until they have their response, so that waiting for
        input goes on meanwhile, and the worker needn't wake the polling thread.

        :returns: whether a worker has one.
        """
        if not self._is_with_worker:
            return False
        with self.requests_lock:
            self._is_parked = bool(self.requests)
        return self._is_parked

    def needs_wake(self) -> bool:
        """
        :returns: whether the polling thread has to look at the connection once a worker
            is done with its request.
        """
        return bool(
            self._is_parked
            or self.total_outbufs_len
            or self._unparsed
            or self.will_close
            or self.close_when_flushed
        )

    def has_unread_input(self) -> bool:
        """
        :returns: whether the kernel has received bytes that aren't read yet.
        """
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return any(events & select.POLLIN for _, events in poll.poll(0))

    def is_handled(self) -> bool:
        """
        :returns: whether a worker has a request and nothing is to be sent yet.
        """
        return bool(self.requests) and not self.total_outbufs_len

    def is_active(self) -> bool:
        """
        :returns: whether another thread may change what the connection waits for, or
            parsing goes on once a response was sent.
        """
        if self._is_with_worker:
            # A worker that has removed the request has done so under the lock.
            with self.requests_lock:
                self._is_with_worker = bool(self.requests)
            if not self._is_with_worker:
                self._is_parked = False
        return bool(
            self._is_with_worker
            or self._unparsed
            or self.total_outbufs_len
            or self.will_close
            or self.close_when_flushed
        )

    def is_receiving(self) -> bool:
        """
        :returns: whether it waits for more of a request, and for nothing else.
        """
        return bool(
            self.request is not None
            and self.connected
            and not self._unparsed
            and not self.total_outbufs_len
        )

    def awaited_events(self) -> int:
        """
        :returns: events that the connection waits for.
        """
        if self._is_with_worker and not self._is_parked and not self._unparsed:
            events = select.POLLIN
        else:
            events = select.POLLIN if self.readable() else 0
        return events | select.POLLOUT if self.writable() else events

    def readable(self) -> bool:
        if self._is_refused:
            return not self.total_outbufs_len and not self.will_close
        return not self._unparsed and super().readable()

    def writable(self) -> bool:
        if not self.requests:
            return super().writable()
        # A worker that is sending holds the lock, and wakes the loop with what is left.
        if not self.outbuf_lock.acquire(False):
            return False
        try:
            return super().writable()
        finally:
            self.outbuf_lock.release()

    # Reading

    def handle_read(self) -> None:
        if self._is_refused:
            self._discard()
            return
        data = self._receive(_READ_BYTES)
        if not data:
            return
        now_s = self.server.clock.monotonic_s()
        request = self.request
        if request is None and not self._received_bytes:
            self._idle_since_s = self._progress_s
            self._started_s = now_s
        self._progress_s = now_s
        self._received_bytes += len(data)
        self._unparsed = data
        if request is not None and request.has_unframed_body():
            self._parse(len(data), 0)
        self.continue_parsing()
        if len(self._unparsed) > CONNECTION_ALLOWANCE_BYTES:
            self._hold_unparsed()

    def _receive(self, size_bytes: int) -> bytes:
        try:
            return self.recv(size_bytes)
        except BlockingIOError:
            return b""
        except OSError:
            self.handle_close()
            return b""

    def _discard(self) -> None:
        data = self._receive(_READ_BYTES)
        self._received_bytes += len(data)
        if self.connected and self._received_bytes > DISCARDED_LIMIT_BYTES:
            self.close_for(CloseReason.REFUSAL_READ)

    def _hold_unparsed(self) -> None:
        """Charges what waits to be parsed to the budget, or drops what wasn't begun."""
        excess_bytes = len(self._unparsed) - CONNECTION_ALLOWANCE_BYTES
        if self._input_charge is None:
            self._input_charge = Charge(self.server.budget)
        if self._input_charge.reserve(excess_bytes):
            return
        if self.requests:
            self._unparsed = b""
            self._drops_requests = True
        else:
            self.refuse(NO_MEMORY)

    def _release_unparsed(self) -> None:
        excess_bytes = max(0, len(self._unparsed) - CONNECTION_ALLOWANCE_BYTES)
        self._input_charge.count(excess_bytes)

    # Parsing

    def continue_parsing(self) -> None:
        """Parses what was received up to the end of a request.

        What is costly to parse is deferred.
        """
        while self._unparsed and not self.is_deferred and not self._is_busy():
            request = self.request
            if request is not None and request.has_unframed_body():
                self._parse(len(self._unparsed), 0)
                continue
            size_bytes = self._framed_bytes(request)
            lines_count = self._unparsed.count(b"\n", 0, size_bytes)
            body_bytes = request.body_bytes if request is not None else 0
            if is_costly(self._lines_count + lines_count, body_bytes):
                self.is_deferred = True
                self._deferred_s = self.server.clock.monotonic_s()
                self.server.loop.defer(self)
                return
            self._parse(size_bytes, lines_count)

    def _framed_bytes(self, request: BoundedParser | None) -> int:
        """Returns the bytes whose lines are parsed: those of a head, or all."""
        if request is not None and request.headers_finished:
            return len(self._unparsed)
        end = self._unparsed.find(_HEAD_END)
        return len(self._unparsed) if end < 0 else end + len(_HEAD_END)

    def _is_busy(self) -> bool:
        return bool(
            self.requests
            or self.total_outbufs_len
            or self.will_close
            or self.close_when_flushed
            or self._is_refused
        )

    def _parse(self, size_bytes: int, lines_count: int) -> None:
        """Parses up to the end of one request.

        :param size_bytes: bytes that are parsed at most.
        :param lines_count: number of lines in them.
        """
        self._lines_count += lines_count
        with self.requests_lock:
            if self.request is None:
                self.request = BoundedParser(self.adj)
            request = self.request
            consumed = request.received(self._unparsed[:size_bytes])
            rest = self._unparsed[consumed:]
            if rest and request.has_unframed_body():
                rest = rest[request.received(rest) :]
            self._unparsed = rest
        if self._input_charge is not None:
            self._release_unparsed()
        if request.error is not None:
            error = request.error
            self.refuse(parser_refusal(error.code, error.body))
        elif request.empty:
            self._ignore_blank_lines()
        elif self._hold(request):
            self._proceed(request)

    def parse_deferred(self) -> int:
        """Parses a slice of what was deferred.

        :returns: number of lines that were parsed.
        """
        lines_count = self._unparsed.count(b"\n", 0, SLICE_BYTES)
        if not self._is_busy():
            self._parse(SLICE_BYTES, lines_count)
        if not self._unparsed or self._is_busy():
            self.is_deferred = False
            # The client isn't to blame for the wait.
            now_s = self.server.clock.monotonic_s()
            self._started_s += now_s - self._deferred_s
            self._progress_s = now_s
        return lines_count

    def _ignore_blank_lines(self) -> None:
        """Lets blank lines before a request neither start it nor prolong the wait."""
        self.request = None
        self._received_bytes = 0
        self._progress_s = self._idle_since_s

    def _hold(self, request: BoundedParser) -> bool:
        """Charges the request to the budget, or refuses it.

        :returns: whether it may go on.
        """
        if not request.headers_finished or request.is_small():
            return True
        held_bytes = request.held_bytes()
        if request.completed:
            held_bytes += int(request.body_bytes * self.server.copies_ratio)
        missing_bytes = held_bytes - CONNECTION_ALLOWANCE_BYTES
        if request.charge is None:
            # A new body has to fit as a whole.
            announced_bytes = request.content_length - CONNECTION_ALLOWANCE_BYTES
            if max(missing_bytes, announced_bytes) <= 0:
                return True
            request.charge = Charge(self.server.budget)
            has_room = self.server.make_room(max(missing_bytes, announced_bytes))
        else:
            missing_bytes -= request.charge.size_bytes
            has_room = missing_bytes <= 0 or self.server.make_room(missing_bytes)
        if has_room and (missing_bytes <= 0 or request.charge.reserve(missing_bytes)):
            return True
        self.refuse(NO_MEMORY)
        return False

    def _proceed(self, request: BoundedParser) -> None:
        if request.completed:
            self._start_task(request)
        elif (
            request.expect_continue
            and request.headers_finished
            and not self.sent_continue
        ):
            self.send_continue()

    def _start_task(self, request: BoundedParser) -> None:
        self.sent_continue = False
        self.request = None
        self._received_bytes = 0
        self._lines_count = 0
        self._has_served = True
        self._is_with_worker = True
        with self.requests_lock:
            self.requests.append(request)
        self.server.add_task(self)

    def resume(self) -> None:
        """Parses the next request once the response to the last one was sent."""
        if self._unparsed and not self.is_deferred and not self._is_busy():
            if self.request is None:
                now_s = self.server.clock.monotonic_s()
                self._started_s = self._progress_s = now_s
            self.continue_parsing()

    # Handling, on worker threads

    def closes_after_response(self) -> bool:
        """
        :returns: whether the connection makes room for others once it has a response.
        """
        server = self.server
        if server.is_stopping.is_set():
            return True
        # The pipelined requests weren't begun.
        is_pipelining = bool(self._unparsed) and server.is_short_of_connections
        return is_pipelining or self._drops_requests

    def service(self) -> None:
        request = self.requests[0]
        self.server.serving.channel = self
        try:
            super().service()
        except BaseException:
            # Otherwise waitress has closed it.
            request.close()
            raise
        finally:
            self.server.serving.channel = None

    def write_soon(self, data: bytes) -> int:
        count = super().write_soon(data)
        if self.total_outbufs_len > CONNECTION_ALLOWANCE_BYTES:
            self._count_output()
        return count

    # Sending

    def send(self, data: bytes, do_close: bool = True) -> int:
        count = super().send(data, do_close=do_close)
        if count:
            self._progress_s = self.server.clock.monotonic_s()
        return count

    def _count_output(self) -> None:
        """Counts what is not sent yet, beyond the allowance of the connection."""
        with self.outbuf_lock:
            if self._output_charge is None:
                self._output_charge = Charge(self.server.budget)
            size_bytes = max(0, self.total_outbufs_len - CONNECTION_ALLOWANCE_BYTES)
            if size_bytes != self._output_charge.size_bytes:
                self._output_charge.count(size_bytes)

    def handle_write(self) -> None:
        if not self._is_refused:
            super().handle_write()
        elif not self.will_close:
            self._flush_exception(self._flush_some)
            if self.connected and not self.total_outbufs_len:
                self._half_close()
        if self.will_close and self.connected:
            self.handle_close()
        if self._output_charge is not None:
            self._count_output()

    # Ending

    def refuse(self, refusal: Refusal) -> None:
        """Refuses the request under way, which has not run, and ends the connection."""
        self.server.report.count_refusal(refusal.reason)
        self._drop_request()
        self._is_refused = True
        self._started_s = self.server.clock.monotonic_s()
        self._received_bytes = 0
        text = self.server.refusal_bytes(refusal)
        with self.outbuf_lock:
            self.outbufs[-1].append(text)
            self.total_outbufs_len += len(text)
        self.handle_write()
        self.server.loop.touch(self)

    def _half_close(self) -> None:
        """Ends the response, and goes on reading.

        Closing a socket with unread input resets the connection, which may take the
        refusal from the client.
        """
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def check_limits(self) -> None:
        """Ends what exceeds a time-out, or a limit that was lowered."""
        server = self.server
        request = self.request
        if request is not None and request.headers_finished:
            error = request.limit_error()
            if error is not None:
                self.refuse(parser_refusal(error.code, error.body))
                return
        now_s = server.clock.monotonic_s()
        reason = timeout_reason(self.view(), server.limits, now_s)
        if reason is not None:
            self._end(reason)

    def _end(self, reason: CloseReason) -> None:
        refusal = _REFUSALS.get(reason)
        if refusal is None:
            self.close_for(reason)
        else:
            self.refuse(refusal)

    def give_way(self, refusal: Refusal) -> None:
        """Ends the connection in favour of others, with a refusal where it is true."""
        if self.phase in (Phase.HEAD, Phase.BODY):
            self.refuse(refusal)
        else:
            self.close_for(refusal.reason)

    def close_for(self, reason: CloseReason) -> None:
        """Closes the connection without a response."""
        self.server.report.count_close(reason)
        self.handle_close()

    def handle_close(self) -> None:
        super().handle_close()
        self._drop_request()
        if self._output_charge is not None:
            self._output_charge.release()

    def _drop_request(self) -> None:
        self._unparsed = b""
        if self._input_charge is not None:
            self._input_charge.release()
        if self.request is None:
            return
        with self.requests_lock:
            request, self.request = self.request, None
        if request is not None:
            request.close()

    def handle_error(self) -> None:
        self.server.report_error(self)
        self.close_for(CloseReason.UNEXPECTED_ERROR)

    def handle_expt(self) -> None:
        """Ignores urgent data."""
