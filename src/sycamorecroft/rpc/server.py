"""gRPC server for calls of peers."""

import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import grpc

from sycamorecroft.clock import Clock
from sycamorecroft.rpc.codec import (
    OwnerBatch,
    decode_digest,
    decode_requester_batch,
    encode_digest,
    encode_owner_batch,
    merge_owner_batches,
)
from sycamorecroft.rpc.generated import peer_pb2
from sycamorecroft.rpc.generated.peer_pb2_grpc import (
    PeerServicer,
    add_PeerServicer_to_server,
)
from sycamorecroft.rpc.interfaces import PeerHandler
from sycamorecroft.rpc.outbox import Outbox

# Each peer's stream holds a thread; a unary call needs one for a moment.
_UNARY_THREADS_COUNT = 8
_STREAMS_PER_PEER_COUNT = 2


class OwnerOutboxes:
    """Outboxes of the streams on which requesters wait for grants."""

    def __init__(self) -> None:
        self._outboxes: dict[str, Outbox[OwnerBatch]] = {}
        self._lock = threading.Lock()

    def open(self, requester: str) -> Outbox[OwnerBatch]:
        """Replaces the outbox of a requester that opened a new stream."""
        outbox = Outbox[OwnerBatch](merge_owner_batches)
        with self._lock:
            former = self._outboxes.get(requester)
            self._outboxes[requester] = outbox
        if former is not None:
            former.close()
        return outbox

    def drop(self, requester: str, outbox: Outbox[OwnerBatch]) -> None:
        """Closes an outbox unless a newer stream has replaced it."""
        with self._lock:
            if self._outboxes.get(requester) is outbox:
                del self._outboxes[requester]
        outbox.close()

    def send(self, requester: str, batch: OwnerBatch) -> None:
        """Queues a batch; it is dropped if the requester has no stream.

        The requester sends its tickets again once it has a new stream.
        """
        with self._lock:
            outbox = self._outboxes.get(requester)
        if outbox is not None:
            outbox.put(batch)


class _Servicer(PeerServicer):
    def __init__(
        self, handler: PeerHandler, outboxes: OwnerOutboxes, clock: Clock
    ) -> None:
        self._handler = handler
        self._outboxes = outboxes
        self._clock = clock

    def Gossip(self, request, context):  # noqa: N802
        digests = tuple(decode_digest(member) for member in request.members)
        answer = self._handler.gossip(request.sender, digests)
        return peer_pb2.GossipDigest(members=[encode_digest(d) for d in answer])

    def Snapshot(self, request, context):  # noqa: N802
        snapshot = self._handler.snapshot()
        if snapshot is None:
            context.abort(grpc.StatusCode.UNAVAILABLE, "the daemon isn't ready")
        return peer_pb2.SnapshotReply(**snapshot._asdict())

    def Slots(self, request_iterator, context):  # noqa: N802
        first = next(request_iterator, None)
        if first is None:
            return
        outbox = self._outboxes.open(first.sender)
        context.add_callback(outbox.close)
        reader = threading.Thread(
            target=self._read, args=(first, request_iterator, outbox), daemon=True
        )
        reader.start()
        # The first message tells the requester that the stream is open.
        yield peer_pb2.OwnerMessage()
        yield from self._encoded(outbox)

    def _encoded(self, outbox: Outbox[OwnerBatch]) -> Iterator[peer_pb2.OwnerMessage]:
        for batch in outbox.batches():
            yield encode_owner_batch(batch)

    def _read(self, first, request_iterator, outbox: Outbox[OwnerBatch]) -> None:
        try:
            self._take(first)
            for message in request_iterator:
                self._take(message)
        except grpc.RpcError:
            pass
        finally:
            self._outboxes.drop(first.sender, outbox)

    def _take(self, message: peer_pb2.RequesterMessage) -> None:
        batch = decode_requester_batch(message, self._clock.monotonic_s())
        self._handler.receive_from_requester(batch)


class PeerServer:
    """gRPC server of one daemon.

    :param address: ``ip:port`` to listen on.
    :param peers_count: number of other entry hosts, which sets the thread count.
    """

    def __init__(
        self,
        address: str,
        handler: PeerHandler,
        outboxes: OwnerOutboxes,
        clock: Clock,
        peers_count: int,
    ) -> None:
        threads_count = _UNARY_THREADS_COUNT + _STREAMS_PER_PEER_COUNT * peers_count
        self._executor = ThreadPoolExecutor(threads_count, "peer")
        self._server = grpc.server(
            self._executor,
            options=(
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", 16 * 1024 * 1024),
            ),
        )
        add_PeerServicer_to_server(_Servicer(handler, outboxes, clock), self._server)
        self._server.add_insecure_port(address)

    def start(self) -> None:
        """Starts to serve."""
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Stops new calls, and cuts the streams after ``grace_s`` seconds."""
        self._server.stop(grace_s).wait()
        self._executor.shutdown(wait=False, cancel_futures=True)
