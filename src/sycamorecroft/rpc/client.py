"""Calls to peers: gossip, snapshots and the slot streams to queue owners."""

import socket
import threading
from collections.abc import Callable

import grpc

from sycamorecroft.clock import Clock
from sycamorecroft.membership.actor import GossipPeer
from sycamorecroft.membership.state import Evidence, MemberDigest
from sycamorecroft.rpc.codec import (
    RequesterBatch,
    decode_digest,
    decode_owner_batch,
    encode_digest,
    encode_requester_batch,
    merge_requester_batches,
)
from sycamorecroft.rpc.generated import peer_pb2
from sycamorecroft.rpc.generated.peer_pb2_grpc import PeerStub
from sycamorecroft.rpc.interfaces import DaemonSnapshot, OwnerListener
from sycamorecroft.rpc.outbox import Outbox

# gRPC's default backoff of up to two minutes is longer than any guarantee.
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 300),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
)
GOSSIP_TIMEOUT_S = 0.3
SNAPSHOT_TIMEOUT_S = 1.0
_RECONNECT_DELAY_S = 0.2

GossipCallback = Callable[[str, tuple[MemberDigest, ...] | None], None]


class PeerClient(GossipPeer):
    """Calls to one peer over one channel.

    :param own_entry: name of this entry host.
    :param entry: name of the peer.
    :param address: ``ip:port`` of the peer's gRPC server.
    """

    def __init__(self, own_entry: str, entry: str, address: str, clock: Clock) -> None:
        self.entry = entry
        self._own_entry = own_entry
        self._address = address
        self._clock = clock
        self._channel = grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._stub = PeerStub(self._channel)
        self._outbox = Outbox[RequesterBatch](merge_requester_batches)
        self._outbox_lock = threading.Lock()
        self._stopped = threading.Event()
        self._reader: threading.Thread | None = None

    def gossip(
        self, digests: tuple[MemberDigest, ...], callback: GossipCallback
    ) -> None:
        """Sends digests without waiting.

        :param callback: called with the peer's name and its digests, or ``None`` if
            there was no answer in time, from a thread of gRPC.
        """
        message = peer_pb2.GossipDigest(
            sender=self._own_entry, members=[encode_digest(d) for d in digests]
        )
        future = self._stub.Gossip.future(message, timeout=GOSSIP_TIMEOUT_S)

        def done(call: grpc.Future) -> None:
            if call.cancelled() or call.exception() is not None:
                callback(self.entry, None)
            else:
                answer = call.result().members
                callback(self.entry, tuple(decode_digest(m) for m in answer))

        future.add_done_callback(done)

    def snapshot(self) -> DaemonSnapshot | None:
        """
        :returns: what the peer holds, ``None`` if it isn't ready or doesn't answer.
        """
        request = peer_pb2.SnapshotRequest(sender=self._own_entry)
        try:
            reply = self._stub.Snapshot(request, timeout=SNAPSHOT_TIMEOUT_S)
        except grpc.RpcError:
            return None
        return DaemonSnapshot(
            staged_version=reply.staged_version,
            in_force_version=reply.in_force_version,
            configuration=reply.configuration,
            view_version=reply.view_version,
            pool_view=reply.pool_view,
        )

    def probe(self) -> Evidence | None:
        """Checks directly whether the peer's process listens and answers.

        :returns: ``None`` if it answers.
        """
        host, _, port = self._address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), GOSSIP_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return Evidence.REFUSED
        except OSError:
            return Evidence.SILENT
        message = peer_pb2.GossipDigest(sender=self._own_entry)
        try:
            self._stub.Gossip(message, timeout=GOSSIP_TIMEOUT_S)
        except grpc.RpcError:
            return Evidence.SILENT
        return None

    def send(self, batch: RequesterBatch) -> None:
        """Queues a batch for the slot stream; never blocks."""
        with self._outbox_lock:
            self._outbox.put(batch)

    def start(self, listener: OwnerListener) -> None:
        """Opens the slot stream and keeps it open until :meth:`stop`."""
        self._reader = threading.Thread(
            target=self._run, args=(listener,), name=f"slots-{self.entry}", daemon=True
        )
        self._reader.start()

    def stop(self) -> None:
        """Closes the stream and the channel."""
        self._stopped.set()
        self._renew_outbox()
        self._channel.close()

    def _run(self, listener: OwnerListener) -> None:
        while not self._stopped.is_set():
            if self._read_stream(listener):
                listener.stream_broken(self.entry)
            self._stopped.wait(_RECONNECT_DELAY_S)

    def _read_stream(self, listener: OwnerListener) -> bool:
        """Reads one stream until it breaks.

        :returns: whether the stream was open.
        """
        outbox = self._renew_outbox()
        outbox.put(RequesterBatch(sender=self._own_entry))
        opened = False
        try:
            for message in self._stub.Slots(self._encoded(outbox)):
                if not opened:
                    opened = True
                    listener.stream_opened(self.entry)
                batch = decode_owner_batch(message, self._own_entry)
                listener.receive_from_owner(self.entry, batch)
        except (grpc.RpcError, ValueError):
            # ValueError: the channel was closed by stop().
            pass
        return opened

    def _renew_outbox(self) -> Outbox[RequesterBatch]:
        """Drops what waits for the former stream; the requester sends it again."""
        with self._outbox_lock:
            self._outbox.close()
            self._outbox = Outbox(merge_requester_batches)
            return self._outbox

    def _encoded(self, outbox: Outbox[RequesterBatch]):
        for batch in outbox.batches():
            yield encode_requester_batch(batch, self._clock.monotonic_s())
