"""gRPC server that accepts calls of peers."""

import asyncio
import threading
from collections.abc import AsyncIterator
from typing import Any

import grpc

from sycamorecroft.clock import Clock
from sycamorecroft.rpc.codec import (
    OwnerBatch,
    decode_requester_batch,
    encode_owner_batch,
    merge_owner_batches,
)
from sycamorecroft.rpc.generated import peer_pb2
from sycamorecroft.rpc.generated.peer_pb2_grpc import (
    PeerServicer,
    add_PeerServicer_to_server,
)
from sycamorecroft.rpc.gossip import GossipCodec
from sycamorecroft.rpc.interfaces import PeerHandler
from sycamorecroft.rpc.loop import RpcLoop
from sycamorecroft.rpc.options import TRANSPORT_OPTIONS
from sycamorecroft.rpc.outbox import Outbox

_START_TIMEOUT_S = 5.0

SERVER_OPTIONS = (
    # With port reuse, two daemons on the same address would share its connections.
    ("grpc.so_reuseport", 0),
    *TRANSPORT_OPTIONS,
)


class OwnerOutboxes:
    """Outboxes of the open slot streams, by requester. Thread-safe."""

    def __init__(self, loop: RpcLoop) -> None:
        self._loop = loop
        self._outboxes: dict[str, Outbox[OwnerBatch]] = {}
        self._lock = threading.Lock()

    def open(self, requester: str) -> Outbox[OwnerBatch]:
        """Creates the outbox of a new stream and closes the requester's previous one.

        :returns: the outbox to write to the stream.
        """
        outbox = Outbox[OwnerBatch](self._loop, merge_owner_batches)
        with self._lock:
            previous = self._outboxes.get(requester)
            self._outboxes[requester] = outbox
        if previous is not None:
            previous.close()
        return outbox

    def discard(self, requester: str, outbox: Outbox[OwnerBatch]) -> None:
        """Closes an outbox and removes it unless a newer stream has replaced it."""
        with self._lock:
            if self._outboxes.get(requester) is outbox:
                del self._outboxes[requester]
        outbox.close()

    def send(self, requester: str, batch: OwnerBatch) -> None:
        """Queues a batch, or discards it if the requester has no open stream.

        The requester resends its tickets once it has opened a new stream.
        """
        with self._lock:
            outbox = self._outboxes.get(requester)
        if outbox is not None:
            outbox.put(batch)


class _Servicer(PeerServicer):
    def __init__(
        self,
        handler: PeerHandler,
        outboxes: OwnerOutboxes,
        clock: Clock,
        gossip_codec: GossipCodec,
    ) -> None:
        self._gossip_codec = gossip_codec
        self._handler = handler
        self._outboxes = outboxes
        self._clock = clock

    async def Gossip(self, request, context):  # noqa: N802
        sender = request.sender
        digests = self._gossip_codec.decode(sender, request)
        reply = await asyncio.to_thread(self._handler.gossip, sender, digests)
        return self._gossip_codec.encode(sender, reply)

    async def Snapshot(self, request, context):  # noqa: N802
        snapshot = self._handler.snapshot()
        if snapshot is None:
            await context.abort(
                grpc.StatusCode.UNAVAILABLE,
                "daemon is not ready: it has no snapshot yet",
            )
        return peer_pb2.SnapshotReply(**snapshot._asdict())

    async def Slots(self, request_iterator, context):  # noqa: N802
        first = await anext(request_iterator, None)
        if first is None:
            return
        outbox = self._outboxes.open(first.sender)
        reader_task = asyncio.create_task(self._read(first, request_iterator, outbox))
        # An empty first message confirms to the requester that the stream is open.
        yield peer_pb2.OwnerMessage()
        try:
            async for batch in outbox.batches():
                yield encode_owner_batch(batch)
        finally:
            reader_task.cancel()
            self._outboxes.discard(first.sender, outbox)

    async def _read(
        self,
        first: Any,
        request_iterator: AsyncIterator[Any],
        outbox: Outbox[OwnerBatch],
    ) -> None:
        try:
            self._handle_message(first)
            async for message in request_iterator:
                self._handle_message(message)
        finally:
            self._outboxes.discard(first.sender, outbox)

    def _handle_message(self, message: peer_pb2.RequesterMessage) -> None:
        batch = decode_requester_batch(message, self._clock.monotonic_s())
        self._handler.receive_from_requester(batch)


class PeerServer:
    """gRPC server of one daemon.

    :param address: ``ip:port`` to listen on.
    :param gossip_codec: codec that all clients and the server of this daemon share.
    :raises RuntimeError: if the address cannot be bound.
    """

    def __init__(
        self,
        loop: RpcLoop,
        address: str,
        handler: PeerHandler,
        outboxes: OwnerOutboxes,
        clock: Clock,
        gossip_codec: GossipCodec,
    ) -> None:
        self._loop = loop
        servicer = _Servicer(handler, outboxes, clock, gossip_codec)
        loop.submit(self._open(address, servicer)).result(_START_TIMEOUT_S)

    async def _open(self, address: str, servicer: _Servicer) -> None:
        self._server = grpc.aio.server(options=SERVER_OPTIONS)
        add_PeerServicer_to_server(servicer, self._server)
        self._server.add_insecure_port(address)

    def start(self) -> None:
        """Starts accepting calls."""
        self._loop.submit(self._server.start()).result(_START_TIMEOUT_S)

    def stop(self, grace_s: float) -> None:
        """Rejects new calls and closes open streams after ``grace_s`` seconds."""
        stopped = self._loop.submit(self._server.stop(grace_s))
        stopped.result(grace_s + _START_TIMEOUT_S)
