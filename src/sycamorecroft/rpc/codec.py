"""Conversion between protobuf messages and the messages of routing and membership."""

from collections.abc import Iterable
from typing import NamedTuple

from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.membership.state import MemberDigest, ServiceDemand
from sycamorecroft.routing.messages import (
    HeldGrant,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from sycamorecroft.rpc.generated import peer_pb2

_MS_PER_S = 1000.0


class RequesterBatch(NamedTuple):
    """Content of one message from a requester to a queue owner."""

    sender: str
    requests: tuple[SlotRequest, ...] = ()
    releases: tuple[SlotRelease, ...] = ()
    held: tuple[HeldGrant, ...] = ()
    synced_services: tuple[str, ...] = ()


class OwnerBatch(NamedTuple):
    """Content of one message from a queue owner to a requester."""

    grants: tuple[SlotGrant, ...] = ()
    refusals: tuple[SlotRefusal, ...] = ()
    disclaimed: tuple[str, ...] = ()
    queued: tuple[str, ...] = ()


def _to_remaining_ms(deadline_s: float, now_s: float) -> int:
    return max(0, int((deadline_s - now_s) * _MS_PER_S))


def merge_requester_batches(batches: Iterable[RequesterBatch]) -> RequesterBatch:
    """Concatenates batches of one sender, preserving their order.

    :param batches: at least one batch.
    """
    ordered = tuple(batches)
    return RequesterBatch(
        sender=ordered[0].sender,
        requests=tuple(item for batch in ordered for item in batch.requests),
        releases=tuple(item for batch in ordered for item in batch.releases),
        held=tuple(item for batch in ordered for item in batch.held),
        synced_services=tuple(
            service for batch in ordered for service in batch.synced_services
        ),
    )


def merge_owner_batches(batches: Iterable[OwnerBatch]) -> OwnerBatch:
    """Concatenates batches for one requester, preserving their order."""
    ordered = tuple(batches)
    return OwnerBatch(
        grants=tuple(item for batch in ordered for item in batch.grants),
        refusals=tuple(item for batch in ordered for item in batch.refusals),
        disclaimed=tuple(item for batch in ordered for item in batch.disclaimed),
        queued=tuple(item for batch in ordered for item in batch.queued),
    )


def encode_requester_batch(
    batch: RequesterBatch, now_s: float
) -> peer_pb2.RequesterMessage:
    """Encodes a batch; deadlines are sent as the time remaining until them.

    :param now_s: monotonic time of this process in seconds.
    :returns: the message for the queue owner.
    """
    return peer_pb2.RequesterMessage(
        sender=batch.sender,
        requests=[_encode_request(request, now_s) for request in batch.requests],
        releases=[_encode_release(release) for release in batch.releases],
        held=[_encode_held(held, now_s) for held in batch.held],
        synced_services=batch.synced_services,
    )


def _encode_request(request: SlotRequest, now_s: float) -> peer_pb2.SlotRequest:
    return peer_pb2.SlotRequest(
        ticket=request.ticket,
        service=request.service,
        team=request.team,
        urgency=request.urgency,
        remaining_ms=_to_remaining_ms(request.deadline_s, now_s),
        excluded_hosts=request.excluded_hosts,
    )


def _encode_release(release: SlotRelease) -> peer_pb2.SlotRelease:
    service_time_s = release.service_time_s
    # On the wire, 0 means that nothing was dispatched, so a dispatched request reports
    # at least 1 ms.
    service_time_ms = (
        0 if service_time_s is None else max(1, int(service_time_s * 1000))
    )
    return peer_pb2.SlotRelease(
        ticket=release.ticket,
        service_time_ms=service_time_ms,
        host_failed=release.host_failed,
    )


def _encode_held(held: HeldGrant, now_s: float) -> peer_pb2.HeldGrant:
    return peer_pb2.HeldGrant(
        ticket=held.ticket,
        service=held.service,
        host=held.host,
        remaining_ms=_to_remaining_ms(held.deadline_s, now_s),
    )


def decode_requester_batch(
    message: peer_pb2.RequesterMessage, now_s: float
) -> RequesterBatch:
    """Decodes a message; deadlines are the current time plus the time remaining.

    :param now_s: monotonic time of this process in seconds.
    :returns: the batch of the requester that sent the message.
    """
    sender = message.sender
    return RequesterBatch(
        sender=sender,
        requests=tuple(
            SlotRequest(
                ticket=request.ticket,
                requester=sender,
                service=request.service,
                team=request.team,
                urgency=Urgency(request.urgency),
                deadline_s=now_s + request.remaining_ms / _MS_PER_S,
                excluded_hosts=tuple(request.excluded_hosts),
            )
            for request in message.requests
        ),
        releases=tuple(
            SlotRelease(
                ticket=release.ticket,
                requester=sender,
                service_time_s=release.service_time_ms / _MS_PER_S or None,
                host_failed=release.host_failed,
            )
            for release in message.releases
        ),
        held=tuple(
            HeldGrant(
                ticket=held.ticket,
                requester=sender,
                service=held.service,
                host=held.host,
                deadline_s=now_s + held.remaining_ms / _MS_PER_S,
            )
            for held in message.held
        ),
        synced_services=tuple(message.synced_services),
    )


def encode_owner_batch(batch: OwnerBatch) -> peer_pb2.OwnerMessage:
    """
    :returns: the message for the requester to which the batch is addressed.
    """
    return peer_pb2.OwnerMessage(
        grants=[
            peer_pb2.SlotGrant(
                ticket=grant.ticket, host=grant.host, address=grant.address
            )
            for grant in batch.grants
        ],
        refusals=[
            peer_pb2.SlotRefusal(ticket=refusal.ticket, reason=refusal.reason)
            for refusal in batch.refusals
        ],
        not_owner=[peer_pb2.NotOwner(ticket=ticket) for ticket in batch.disclaimed],
        queued=batch.queued,
    )


def decode_owner_batch(message: peer_pb2.OwnerMessage, requester: str) -> OwnerBatch:
    """
    :param requester: name of this entry host.
    :returns: the batch that a queue owner sent to this entry host.
    """
    return OwnerBatch(
        grants=tuple(
            SlotGrant(grant.ticket, requester, grant.host, grant.address)
            for grant in message.grants
        ),
        refusals=tuple(
            SlotRefusal(refusal.ticket, requester, refusal.reason)
            for refusal in message.refusals
        ),
        disclaimed=tuple(disclaimer.ticket for disclaimer in message.not_owner),
        queued=tuple(message.queued),
    )


def encode_digest(digest: MemberDigest) -> peer_pb2.MemberDigest:
    """
    :returns: the protobuf message of a digest, with its demands as nested messages.
    """
    fields = digest._asdict()
    fields["demands"] = [
        peer_pb2.ServiceDemand(service=demand.service, slots_count=demand.slots_count)
        for demand in digest.demands
    ]
    return peer_pb2.MemberDigest(**fields)


def decode_digest(message: peer_pb2.MemberDigest) -> MemberDigest:
    """
    :returns: the digest that a protobuf message carries.
    """
    *fields, _ = MemberDigest._fields
    demands = tuple(
        ServiceDemand(demand.service, demand.slots_count) for demand in message.demands
    )
    return MemberDigest(*(getattr(message, field) for field in fields), demands)
