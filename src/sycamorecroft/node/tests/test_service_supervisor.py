"""Tests of how claimed services are started, and of heartbeats meanwhile."""

import threading
import time

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.clock import BoottimeClock
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.node.service_supervisor import (
    OwnedServiceFactories,
    ServiceSupervisor,
)
from sycamorecroft.node.worker_directory import WorkerDirectory
from sycamorecroft.ownership.capacity import CapacityRow
from sycamorecroft.ownership.confirmations import ClaimConfirmations
from sycamorecroft.ownership.heartbeats import EntryHost
from sycamorecroft.ownership.hosts import (
    ENTRY_HOSTS_TABLE,
    OWNER_TIMEOUT_S,
    EntryHostRow,
)
from sycamorecroft.ownership.owner import Ownership
from sycamorecroft.recorder import NullRecorder
from sycamorecroft.scheduling.model import FleetSnapshot, Service
from sycamorecroft.scheduling.rows import decode_row

WAIT_TIMEOUT_S = 10.0


class _Component:
    """Stands in for an owned service and for the fleet controller."""

    def __init__(self) -> None:
        self.is_stopped = False
        self.fleets: list[FleetSnapshot] = []

    def update_fleet(self, fleet: FleetSnapshot) -> None:
        self.fleets.append(fleet)

    def start(self) -> None:
        pass

    def stop(self) -> None:
        self.is_stopped = True


class _Host:
    """Supervisor of one entry host whose services start as the test directs."""

    def __init__(self) -> None:
        self.tables = MemoryPartitions()
        self.is_reading = threading.Event()
        self.released = threading.Event()
        self.errors: list[Exception] = []
        self.created: list[_Component] = []
        self.ownership = Ownership(
            self.tables,
            BoottimeClock(),
            EntryHost("h0", "1", CapacityRow(1.0, 100.0)),
            10.0,
            ClaimConfirmations(),
        )
        self.fleet = FleetSnapshot(
            1, (), (Service("rating", False, False),), 8192, 65536
        )
        self.supervisor = ServiceSupervisor(
            self.ownership,
            WorkerDirectory(self.tables),
            BoottimeClock(),
            lambda: self.fleet,
            OwnedServiceFactories(self._create, lambda claimed: _Component()),
            NullRecorder(),
        )
        self.supervisor.start()

    def _create(self, claimed, workers):
        del claimed, workers
        self.is_reading.set()
        self.released.wait(WAIT_TIMEOUT_S)
        if self.errors:
            raise self.errors.pop()
        self.created.append(_Component())
        return self.created[-1]

    def heartbeats_count(self) -> int:
        row = self.tables.row(ENTRY_HOSTS_TABLE, "h0", "h0")
        return decode_row(row.value, EntryHostRow).heartbeats_count

    def wait_for(self, condition) -> None:
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end_s, "condition not met before the deadline"
            time.sleep(0.02)


@pytest.fixture
def host():
    started = _Host()
    started.wait_for(lambda: "rating" in started.ownership.owned)
    yield started
    started.released.set()
    started.supervisor.stop()


def test_heartbeats_go_on_while_a_service_is_read(host):
    """Guards against an owner that others suspect since its rows are read slowly."""
    before = host.heartbeats_count()
    time.sleep(1.5 * OWNER_TIMEOUT_S)
    assert host.heartbeats_count() >= before + 3
    assert "rating" not in host.supervisor.owned
    host.released.set()
    host.wait_for(lambda: "rating" in host.supervisor.owned)


def test_failed_start_is_repeated_under_the_same_claim(host):
    """Guards against an owner that holds its claim while the service doesn't run.

    An answer that the store loses must not cost another claim with a higher epoch, nor
    may an unexpected error leave the claim without a service.
    """
    host.errors += [StoreUnavailableError("no response"), ValueError("unexpected")]
    claimed = host.ownership.owned["rating"]
    host.released.set()
    host.wait_for(lambda: "rating" in host.supervisor.owned)
    assert host.ownership.owned["rating"] is claimed
    assert not host.errors


def test_service_whose_claim_is_lost_while_it_is_read_is_stopped(host):
    """Guards against a service that runs beside that of the next owner."""
    assert host.is_reading.wait(WAIT_TIMEOUT_S)
    claimed = host.ownership.owned["rating"]
    host.ownership.owned["rating"] = claimed._replace(former_lease_end_s=0.0)
    host.released.set()
    host.wait_for(lambda: bool(host.created))
    host.wait_for(lambda: host.created[0].is_stopped)
    assert "rating" not in host.supervisor.owned


def test_late_report_of_a_lost_claim_leaves_the_next_claim(host):
    """Guards against a former service of this host that ends its successor."""
    claimed = host.ownership.owned["rating"]
    host.released.set()
    host.wait_for(lambda: "rating" in host.supervisor.owned)
    host.supervisor._remove_lost(claimed._replace(former_lease_end_s=-1.0))
    assert "rating" in host.supervisor.owned
    host.supervisor._remove_lost(claimed)
    assert "rating" not in host.supervisor.owned


def test_a_version_that_comes_while_a_service_is_read_reaches_it(host):
    """Guards against an owner that applies accounts of a former configuration."""
    host.fleet = host.fleet._replace(version=2)
    host.supervisor.wake()
    host.released.set()
    host.wait_for(lambda: host.created and host.created[0].fleets)
    assert host.created[0].fleets[-1].version == 2
