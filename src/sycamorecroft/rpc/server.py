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
from sycamorecroft.rpc.gossip import GossipCodec
from sycamorecroft.rpc.interfaces import PeerHandler
from sycamorecroft.rpc.limits import (
    MESSAGE_TIMEOUT_S,
    calls_limit_count,
    server_options,
)
from sycamorecroft.rpc.loop import RpcLoop
from sycamorecroft.rpc.outbox import Outbox

_START_TIMEOUT_S = 5.0

_SERVICE = peer_pb2.DESCRIPTOR.services_by_name["Peer"].full_name


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


class _Servicer:
    """Handlers of calls.

    Requests are read as streams, also those of a single message: a handler of single
    messages is called once the message is complete, which a caller may never send.
    """

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

    def method_handlers(self) -> dict[str, grpc.RpcMethodHandler]:
        """
        :returns: handlers by name of the method.
        """
        return {
            "Gossip": grpc.stream_unary_rpc_method_handler(
                self._gossip,
                request_deserializer=peer_pb2.GossipDigest.FromString,
                response_serializer=peer_pb2.GossipDigest.SerializeToString,
            ),
            "Snapshot": grpc.stream_unary_rpc_method_handler(
                self._snapshot,
                request_deserializer=peer_pb2.SnapshotRequest.FromString,
                response_serializer=peer_pb2.SnapshotReply.SerializeToString,
            ),
            "Slots": grpc.stream_stream_rpc_method_handler(
                self._slots,
                request_deserializer=peer_pb2.RequesterMessage.FromString,
                response_serializer=peer_pb2.OwnerMessage.SerializeToString,
            ),
        }

    @staticmethod
    async def _first_message(request_iterator: AsyncIterator[Any], context) -> Any:
        try:
            return await asyncio.wait_for(anext(request_iterator), MESSAGE_TIMEOUT_S)
        except TimeoutError:
            await context.abort(
                grpc.StatusCode.DEADLINE_EXCEEDED, "no complete message arrived in time"
            )
        except StopAsyncIteration:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, "the call has no message"
            )

    async def _gossip(self, request_iterator, context):
        request = await self._first_message(request_iterator, context)
        sender = request.sender
        digests = self._gossip_codec.decode(sender, request)
        reply = await asyncio.to_thread(self._handler.gossip, sender, digests)
        return self._gossip_codec.encode(sender, reply)

    async def _snapshot(self, request_iterator, context):
        await self._first_message(request_iterator, context)
        snapshot = self._handler.snapshot()
        if snapshot is None:
            await context.abort(
                grpc.StatusCode.UNAVAILABLE,
                "daemon is not ready: it has no snapshot yet",
            )
        return peer_pb2.SnapshotReply(**snapshot._asdict())

    async def _slots(self, request_iterator, context):
        first = await self._first_message(request_iterator, context)
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
    :param peers_count: number of daemons that call this one.
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
        peers_count: int,
    ) -> None:
        self._loop = loop
        servicer = _Servicer(handler, outboxes, clock, gossip_codec)
        opened = loop.submit(self._open(address, servicer, peers_count))
        opened.result(_START_TIMEOUT_S)

    async def _open(self, address: str, servicer: _Servicer, peers_count: int) -> None:
        self._server = grpc.aio.server(
            options=server_options(peers_count),
            maximum_concurrent_rpcs=calls_limit_count(peers_count),
        )
        handlers = grpc.method_handlers_generic_handler(
            _SERVICE, servicer.method_handlers()
        )
        self._server.add_generic_rpc_handlers((handlers,))
        self._server.add_insecure_port(address)

    def start(self) -> None:
        """Starts accepting calls."""
        self._loop.submit(self._server.start()).result(_START_TIMEOUT_S)

    def stop(self, grace_s: float) -> None:
        """Rejects new calls and closes open streams after ``grace_s`` seconds."""
        stopped = self._loop.submit(self._server.stop(grace_s))
        stopped.result(grace_s + _START_TIMEOUT_S)
