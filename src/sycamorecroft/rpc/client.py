"""gRPC client for calls to peers: gossip, snapshots and slot streams."""

import asyncio
import socket
import threading
from collections.abc import AsyncIterator, Callable
from concurrent.futures import Future
from typing import Any

import grpc

from sycamorecroft.clock import Clock
from sycamorecroft.membership.actor import GossipPeer
from sycamorecroft.membership.state import FailureEvidence, MemberDigest
from sycamorecroft.rpc.codec import (
    RequesterBatch,
    decode_owner_batch,
    encode_requester_batch,
    merge_requester_batches,
)
from sycamorecroft.rpc.generated import peer_pb2
from sycamorecroft.rpc.generated.peer_pb2_grpc import PeerStub
from sycamorecroft.rpc.gossip import GossipCodec
from sycamorecroft.rpc.interfaces import DaemonSnapshot, OwnerListener
from sycamorecroft.rpc.loop import RpcLoop
from sycamorecroft.rpc.options import TRANSPORT_OPTIONS
from sycamorecroft.rpc.outbox import Outbox

# gRPC's default reconnect backoff of up to two minutes would exceed every time limit
# that the service guarantees.
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 300),
    ("grpc.max_reconnect_backoff_ms", 1000),
    *TRANSPORT_OPTIONS,
)
GOSSIP_TIMEOUT_S = 0.3
SNAPSHOT_TIMEOUT_S = 1.0
_RECONNECT_DELAY_S = 0.2
# Calls are ended by their own timeouts; this one only bounds the waiting thread.
_WAIT_TIMEOUT_S = 2.0

GossipCallback = Callable[[str, tuple[MemberDigest, ...] | None], None]


class PeerClient(GossipPeer):
    """Client of one peer, over a single channel.

    :param own_entry_host: name of this entry host.
    :param peer: name of the peer.
    :param address: ``ip:port`` of the peer's gRPC server.
    :param gossip_codec: codec that all clients and the server of this daemon share.
    """

    def __init__(
        self,
        loop: RpcLoop,
        own_entry_host: str,
        peer: str,
        address: str,
        clock: Clock,
        gossip_codec: GossipCodec,
    ) -> None:
        self._peer = peer
        self._gossip_codec = gossip_codec
        self._loop = loop
        self._own_entry_host = own_entry_host
        self._address = address
        self._clock = clock
        self._outbox = Outbox[RequesterBatch](loop, merge_requester_batches)
        self._outbox_lock = threading.Lock()
        self._stream: Future | None = None
        # A channel is bound to the event loop on which it is created.
        loop.submit(self._open()).result(_WAIT_TIMEOUT_S)

    async def _open(self) -> None:
        self._channel = grpc.aio.insecure_channel(
            self._address, options=CHANNEL_OPTIONS
        )
        self._stub = PeerStub(self._channel)

    def gossip(
        self, digests: tuple[MemberDigest, ...], callback: GossipCallback
    ) -> None:
        """Sends digests without waiting for the reply.

        :param callback: called on the thread of the event loop with the peer's name and
            its digests, or ``None`` if the call failed or timed out.
        """
        self._loop.submit(self._gossip_and_notify(digests, callback))

    async def _gossip_and_notify(
        self, digests: tuple[MemberDigest, ...], callback: GossipCallback
    ) -> None:
        callback(self._peer, await self._gossip(digests))

    async def _gossip(
        self, digests: tuple[MemberDigest, ...]
    ) -> tuple[MemberDigest, ...] | None:
        message = self._gossip_codec.encode(self._peer, digests)
        try:
            reply = await self._stub.Gossip(message, timeout=GOSSIP_TIMEOUT_S)
        except grpc.RpcError:
            return None
        return self._gossip_codec.decode(self._peer, reply)

    def snapshot(self) -> DaemonSnapshot | None:
        """
        :returns: configuration and pool view of the peer, ``None`` if it is not ready
            or does not reply.
        """
        try:
            return self._loop.submit(self._snapshot()).result(_WAIT_TIMEOUT_S)
        except (grpc.RpcError, TimeoutError):
            return None

    async def _snapshot(self) -> DaemonSnapshot:
        request = peer_pb2.SnapshotRequest(sender=self._own_entry_host)
        reply = await self._stub.Snapshot(request, timeout=SNAPSHOT_TIMEOUT_S)
        return DaemonSnapshot(
            staged_version=reply.staged_version,
            in_force_version=reply.in_force_version,
            configuration=reply.configuration,
            view_version=reply.view_version,
            pool_view=reply.pool_view,
        )

    def probe(self) -> FailureEvidence | None:
        """Checks directly whether the peer's process listens and replies to gossip.

        :returns: evidence that the peer failed, or ``None`` if it replies.
        """
        host, _, port = self._address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), GOSSIP_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return FailureEvidence.REFUSED
        except OSError:
            return FailureEvidence.UNREACHABLE
        try:
            reply = self._loop.submit(self._gossip(())).result(_WAIT_TIMEOUT_S)
        except TimeoutError:
            reply = None
        return FailureEvidence.UNREACHABLE if reply is None else None

    def send(self, batch: RequesterBatch) -> None:
        """Queues a batch for the slot stream without blocking."""
        with self._outbox_lock:
            self._outbox.put(batch)

    def start(self, listener: OwnerListener) -> None:
        """Opens the slot stream and reopens it when it breaks, until :meth:`stop`."""
        self._stream = self._loop.submit(self._maintain_stream(listener))

    def stop(self) -> None:
        """Closes the stream and the channel."""
        if self._stream is not None:
            self._stream.cancel()
        self._loop.submit(self._channel.close(None))

    async def _maintain_stream(self, listener: OwnerListener) -> None:
        while True:
            if await self._read_stream(listener):
                listener.on_stream_broken(self._peer)
            await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _read_stream(self, listener: OwnerListener) -> bool:
        """Reads one slot stream until it breaks.

        :returns: whether the stream was established before it broke.
        """
        outbox = self._replace_outbox()
        outbox.put(RequesterBatch(sender=self._own_entry_host))
        is_open = False
        try:
            async for message in self._stub.Slots(self._encoded_batches(outbox)):
                if not is_open:
                    is_open = True
                    listener.on_stream_opened(self._peer)
                batch = decode_owner_batch(message, self._own_entry_host)
                listener.receive_from_owner(self._peer, batch)
        except grpc.RpcError:
            pass
        return is_open

    def _replace_outbox(self) -> Outbox[RequesterBatch]:
        """Discards what is queued for the previous stream; the requester resends it."""
        with self._outbox_lock:
            self._outbox.close()
            self._outbox = Outbox(self._loop, merge_requester_batches)
            return self._outbox

    async def _encoded_batches(
        self, outbox: Outbox[RequesterBatch]
    ) -> AsyncIterator[Any]:
        async for batch in outbox.batches():
            yield encode_requester_batch(batch, self._clock.monotonic_s())
