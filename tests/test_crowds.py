"""Tests of crowds of clients against the system's own processes.

Each test starts one process with lowered limits and one small crowd. It checks that the
process stays alive, stays within its memory and descriptors, and answers one ordinary
request while the crowd is still connected.
"""

import json
import time

import grpc
import pytest

from standins.crowd import Client, Crowd, GrpcClient, TextClient
from standins.crowd_processes import (
    FLEET,
    ObservedDaemon,
    ObservedNode,
    ObservedProcess,
)
from sycamorecroft.rpc.generated import peer_pb2
from sycamorecroft.rpc.generated.peer_pb2_grpc import PeerStub

MIB = 2**20
# Memory and descriptors of the host. A node without callers takes about 38 MB.
MEMORY_MB = 96
DESCRIPTORS_COUNT = 400
# A daemon without callers takes about 80 MB.
DAEMON_MEMORY_BYTES = 150 * MIB
DAEMON_DESCRIPTORS_COUNT = 200
DAEMON_LIMITS = {
    "thread_count": 24,
    "admitted_limit_count": 16,
    "body_limit_bytes": MIB,
    "in_flight_limit_bytes": 16 * MIB,
    "connection_limit_count": 100,
}

BODY_BYTES = 1_000_000
CLIENTS_COUNT = 150
# Heads are smaller than bodies, so that a crowd needs more connections.
HEADS_CLIENTS_COUNT = 300
# More than the descriptors allow.
OPEN_CONNECTIONS_COUNT = 450
PIECE_BYTES = 10_000
PIPELINED_COUNT = 6_000
PIPELINING_CLIENTS_COUNT = 60
HEADER_LIMIT_BYTES = 16_384
SMALL_CHUNK_BYTES = 16
SMALL_CHUNKS_COUNT = 3_750
LARGE_CHUNK_BYTES = 65_536
# Size of a message and number of clients.
GRPC_CROWDS = ((8_000_000, 20), (1_000_000, 100))
GRPC_TIMEOUT_S = 10.0

NODE_LISTENERS = ("front", "ready", "metrics")
PATHS = {
    "front": "/rating/00000000000000ff",
    "ready": "/api/readyz",
    "metrics": "/metrics",
    "http": "/v1/services/rating/requests",
}


def _request_head(listener: str, fields: str) -> bytes:
    line = f"POST {PATHS[listener]} HTTP/1.1\r\nHost: jobs.example\r\n{fields}\r\n"
    return line.encode()


def _whole_body(listener: str) -> bytes:
    head = _request_head(listener, f"Content-Length: {BODY_BYTES}\r\n")
    return head + bytes(BODY_BYTES - 1)


def _chunked_body(listener: str, chunk_bytes: int, chunks_count: int) -> bytes:
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    head = _request_head(listener, "Transfer-Encoding: chunked\r\n")
    return head + (chunk * chunks_count)[:-1]


def _large_chunks(listener: str) -> bytes:
    return _chunked_body(listener, LARGE_CHUNK_BYTES, BODY_BYTES // LARGE_CHUNK_BYTES)


def _small_chunks(listener: str) -> bytes:
    return _chunked_body(listener, SMALL_CHUNK_BYTES, SMALL_CHUNKS_COUNT)


def _many_fields(listener: str) -> bytes:
    """Returns a head of legal size with as many fields as possible, and half a body."""
    length = "Content-Length: 2\r\n"
    room_bytes = HEADER_LIMIT_BYTES - len(_request_head(listener, length))
    fields = "".join(f"{number:03x}:\r\n" for number in range(room_bytes // 6))
    return _request_head(listener, fields + length) + b"x"


MANY_FIELDS = "many header fields"
BODIES = {
    "whole": lambda listener: TextClient(_whole_body(listener)),
    "in pieces": lambda listener: TextClient(_whole_body(listener), PIECE_BYTES),
    "large chunks": lambda listener: TextClient(_large_chunks(listener)),
    "small chunks": lambda listener: TextClient(_small_chunks(listener)),
    MANY_FIELDS: lambda listener: TextClient(_many_fields(listener)),
}


@pytest.fixture
def node(tmp_path):
    process = ObservedNode(tmp_path, MEMORY_MB, DESCRIPTORS_COUNT)
    yield process
    process.close()


@pytest.fixture
def daemon(tmp_path):
    process = ObservedDaemon(tmp_path, DAEMON_DESCRIPTORS_COUNT, DAEMON_LIMITS)
    yield process
    process.close()


@pytest.fixture
def crowds():
    opened: list[Crowd] = []
    yield opened
    for crowd in opened:
        crowd.close()


def _meet_crowd(
    process: ObservedProcess,
    listener: str,
    clients: list[Client],
    crowds: list[Crowd],
) -> None:
    crowd = Crowd(process.ports[listener])
    crowds.append(crowd)
    crowd.connect(clients)
    crowd.send(process.observe)


def _check_service(process: ObservedProcess) -> None:
    assert process.is_alive, "the process has ended"
    assert process.is_serving(), "a caller on a kept connection isn't answered"
    process.reconnect()
    assert process.is_serving(), "a new caller isn't answered"
    process.observe()
    print(
        f"peak: {process.peak_memory_bytes} B, {process.peak_unread_bytes} B unread, "
        f"{process.peak_descriptors_count} descriptors"
    )


def _check_node(node: ObservedNode) -> None:
    _check_service(node)
    assert node.peak_memory_bytes <= MEMORY_MB * MIB
    assert node.peak_descriptors_count < DESCRIPTORS_COUNT


def _check_daemon(daemon: ObservedDaemon) -> None:
    _check_service(daemon)
    assert daemon.peak_memory_bytes <= DAEMON_MEMORY_BYTES
    assert daemon.peak_descriptors_count < DAEMON_DESCRIPTORS_COUNT


@pytest.mark.parametrize("listener", NODE_LISTENERS)
@pytest.mark.parametrize("body", BODIES)
def test_bodies_that_stop_short_stay_within_the_memory(node, crowds, listener, body):
    """Guards against a process that runs out of memory on bodies of legal size, most of
    which stop one byte short and stay open."""
    count = HEADS_CLIENTS_COUNT if body == MANY_FIELDS else CLIENTS_COUNT
    clients = [BODIES[body](listener) for _ in range(count)]
    _meet_crowd(node, listener, clients, crowds)
    _check_node(node)


@pytest.mark.parametrize("listener", NODE_LISTENERS)
def test_open_connections_leave_descriptors(node, crowds, listener):
    """Guards against a process that has no descriptors left for the store and for other
    callers, because a crowd opens connections and sends nothing."""
    clients = [TextClient(b"") for _ in range(OPEN_CONNECTIONS_COUNT)]
    _meet_crowd(node, listener, clients, crowds)
    _check_node(node)


@pytest.mark.parametrize("listener", NODE_LISTENERS)
def test_unread_responses_stay_within_the_memory(node, crowds, listener):
    """Guards against pipelined requests that are held all at once, and responses
    that pile up because nobody reads them."""
    head = f"GET {PATHS[listener]} HTTP/1.1\r\nHost: jobs.example\r\n\r\n".encode()
    text = head * PIPELINED_COUNT
    clients = [TextClient(text) for _ in range(PIPELINING_CLIENTS_COUNT)]
    _meet_crowd(node, listener, clients, crowds)
    _check_node(node)


DECODED_BODIES = {
    "steps without fields": b'{"phases":[%s]}' % b",".join([b"{}"] * 333_000),
    "steps": b'{"phases":[%s]}' % b",".join([b'{"count":1}'] * 83_000),
    "dependencies": b'{"phases":[{"count":1},{"count":1,"after":[%s]}]}'
    % b",".join([b"0"] * 499_000),
    "unknown fields": b'{"x":[%s],"phases":[{"count":1}]}'
    % b",".join([b"[]"] * 333_000),
}


@pytest.mark.parametrize("body", DECODED_BODIES)
def test_decoded_bodies_stay_within_the_memory(node, crowds, body):
    """Guards against complete bodies of legal size that take many times their size once
    they are decoded."""
    text = DECODED_BODIES[body]
    head = _request_head("front", f"Content-Length: {len(text)}\r\n")
    clients = [TextClient(head + text) for _ in range(PIPELINING_CLIENTS_COUNT)]
    _meet_crowd(node, "front", clients, crowds)
    _check_node(node)


def test_crowd_during_a_store_outage_stays_within_the_memory(node, crowds):
    """Guards against bodies that are held for the whole of a store outage."""
    node.store.tables.is_unavailable = True
    body = json.dumps({"phases": [{"count": 1}], "spec": "x"}).encode()
    body += b" " * (BODY_BYTES - len(body))
    head = _request_head("front", f"Content-Length: {BODY_BYTES}\r\n")
    clients = [TextClient(head + body) for _ in range(CLIENTS_COUNT)]
    _meet_crowd(node, "front", clients, crowds)
    assert node.is_alive
    node.store.tables.is_unavailable = False
    deadline_s = time.monotonic() + GRPC_TIMEOUT_S
    while not node.is_serving() and time.monotonic() < deadline_s:
        time.sleep(0.1)
    _check_node(node)


def test_planned_stop_ends_while_a_crowd_holds_on(node, crowds):
    """Guards against a planned stop that reports aborted requests because of requests
    that were never complete."""
    clients = [BODIES["whole"]("front") for _ in range(CLIENTS_COUNT // 5)]
    _meet_crowd(node, "front", clients, crowds)
    assert node.stop() == 0


def test_lowered_limits_reach_bodies_under_way(node, crowds):
    """Guards against limits of a former configuration that go on for open
    connections."""
    clients = [BODIES["whole"]("front") for _ in range(4)]
    _meet_crowd(node, "front", clients, crowds)
    fleet = FLEET | {"version": 2, "limits": {"max-body-bytes": 1000}}
    node.store.put("op", "config", fleet)
    assert crowds[0].read_statuses() == [413] * 4
    _check_node(node)


@pytest.mark.parametrize("body", BODIES)
def test_daemon_keeps_bodies_within_its_limit(daemon, crowds, body):
    """Guards against bodies that aren't counted before they are complete, so that
    ``in_flight_limit_bytes`` doesn't bound them."""
    clients = [
        BODIES[body]("http") for _ in range(DAEMON_LIMITS["connection_limit_count"])
    ]
    _meet_crowd(daemon, "http", clients, crowds)
    _check_daemon(daemon)


def test_daemon_serves_beside_open_connections(daemon, crowds):
    """Guards against a crowd that takes all connections of a daemon."""
    clients = [TextClient(b"") for _ in range(OPEN_CONNECTIONS_COUNT)]
    _meet_crowd(daemon, "http", clients, crowds)
    _check_daemon(daemon)


def test_daemon_holds_unread_responses_within_its_limit(daemon, crowds):
    """Guards against responses that pile up because nobody reads them."""
    text = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * PIPELINED_COUNT
    clients = [TextClient(text) for _ in range(PIPELINING_CLIENTS_COUNT)]
    _meet_crowd(daemon, "http", clients, crowds)
    _check_daemon(daemon)


@pytest.mark.parametrize(("message_bytes", "clients_count"), GRPC_CROWDS)
@pytest.mark.parametrize("method", ("Gossip", "Snapshot", "Slots"))
def test_messages_of_peers_that_stop_short_stay_within_the_memory(
    daemon, crowds, method, message_bytes, clients_count
):
    """Guards against messages to the listener for peers that stop short."""
    path = f"/sycamorecroft.peer.v1.Peer/{method}"
    clients = [GrpcClient(path, message_bytes) for _ in range(clients_count)]
    _meet_crowd(daemon, "grpc", clients, crowds)
    _check_peers(daemon)
    _check_daemon(daemon)


def test_peers_are_served_beside_open_connections(daemon, crowds):
    """Guards against connections to the listener for peers that take all
    descriptors."""
    clients = [TextClient(b"") for _ in range(OPEN_CONNECTIONS_COUNT)]
    _meet_crowd(daemon, "grpc", clients, crowds)
    _check_peers(daemon)
    _check_daemon(daemon)


def _check_peers(daemon: ObservedDaemon) -> None:
    with grpc.insecure_channel(f"127.0.0.1:{daemon.ports['grpc']}") as channel:
        digest = peer_pb2.GossipDigest(sender="entry-1")
        reply = PeerStub(channel).Gossip(
            digest, timeout=GRPC_TIMEOUT_S, wait_for_ready=True
        )
    assert reply.sender == "entry-1"
