"""What the transport between daemons needs from the slices, and offers to them."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from sycamorecroft.membership.state import MemberDigest
from sycamorecroft.rpc.codec import OwnerBatch, RequesterBatch


class DaemonSnapshot(NamedTuple):
    """Configuration and pool view of a daemon; versions are 0 if it has none."""

    staged_version: int
    in_force_version: int
    configuration: bytes
    view_version: int
    pool_view: bytes


class PeerHandler(ABC):
    """Handles calls of peers. Called from threads of the gRPC server."""

    @abstractmethod
    def gossip(
        self, sender: str, digests: tuple[MemberDigest, ...]
    ) -> tuple[MemberDigest, ...]:
        """
        :returns: digests that this daemon holds.
        """

    @abstractmethod
    def snapshot(self) -> DaemonSnapshot | None:
        """
        :returns: what this daemon holds, ``None`` while it isn't ready.
        """

    @abstractmethod
    def receive_from_requester(self, batch: RequesterBatch) -> None:
        """Takes slot requests, releases and held grants; must not block."""


class OwnerListener(ABC):
    """Receives what owners of queues send, and the state of the streams to them."""

    @abstractmethod
    def receive_from_owner(self, owner: str, batch: OwnerBatch) -> None:
        """Takes grants and refusals; must not block."""

    @abstractmethod
    def on_stream_opened(self, owner: str) -> None:
        """The stream to ``owner`` works; what was sent before may be lost."""

    @abstractmethod
    def on_stream_broken(self, owner: str) -> None:
        """The stream to ``owner`` broke."""
