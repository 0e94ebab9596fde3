"""Interfaces between the transport of peer calls and the components that use it."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from sycamorecroft.membership.state import MemberDigest
from sycamorecroft.rpc.codec import OwnerBatch, RequesterBatch


class DaemonSnapshot(NamedTuple):
    """Configuration and pool view of a daemon; a version of 0 means none."""

    staged_version: int
    in_force_version: int
    configuration: bytes
    view_version: int
    pool_view: bytes


class PeerHandler(ABC):
    """Handles calls of peers.

    Gossip is handled on worker threads, the other calls on the event loop.
    """

    @abstractmethod
    def gossip(
        self, sender: str, digests: tuple[MemberDigest, ...]
    ) -> tuple[MemberDigest, ...]:
        """
        :returns: all digests that this daemon knows.
        """

    @abstractmethod
    def snapshot(self) -> DaemonSnapshot | None:
        """
        :returns: configuration and pool view of this daemon, ``None`` while it is not
            ready.
        """

    @abstractmethod
    def receive_from_requester(self, batch: RequesterBatch) -> None:
        """Processes slot requests, releases and held grants; must not block."""


class OwnerListener(ABC):
    """Receives batches of queue owners and state changes of the streams to them."""

    @abstractmethod
    def receive_from_owner(self, owner: str, batch: OwnerBatch) -> None:
        """Processes grants and refusals; must not block."""

    @abstractmethod
    def on_stream_opened(self, owner: str) -> None:
        """Called when the stream to ``owner`` opened; earlier batches may be lost."""

    @abstractmethod
    def on_stream_broken(self, owner: str) -> None:
        """Called when an open stream to ``owner`` broke."""
