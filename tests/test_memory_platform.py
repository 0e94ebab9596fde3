"""Failures guarded against: a stand-in kinder than the platform it stands for."""

import pytest

from standins.memory_platform import MemoryPlatform
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import NotLeaseHolderError, PlatformError
from sycamorecroft.store.interfaces import (
    HostPhase,
    HostRole,
    HostStatus,
    PlatformHost,
    TaskSize,
    TaskStart,
    TaskState,
)

WORKER = PlatformHost(
    "w1", HostRole.WORKER, "127.0.0.1:1", "d", "r", HostStatus.LIVE, 8, 64, 0, 8, 64
)
START = TaskStart("t1", "w1", "jobs/p", 2, 10.0, TaskSize(2, 8, 0), "", None)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def platform(clock: ManualClock) -> MemoryPlatform:
    platform = MemoryPlatform(clock, host_list_lag_s=5, usage_lag_s=3, reboot_s=30)
    platform.hosts.declare([WORKER])
    platform.hosts.list_hosts()
    return platform


def _statuses(platform: MemoryPlatform) -> list[HostStatus]:
    return [host.status for host in platform.hosts.list_hosts().hosts]


def test_host_list_lags_and_a_rebooted_host_comes_back(platform, clock):
    platform.control.reboot("w1", operation_id="o1")
    assert _statuses(platform) == [HostStatus.LIVE]
    clock.advance(5)
    assert _statuses(platform) == [HostStatus.LEAVING]
    clock.advance(25)
    assert platform.control.phase("w1") is HostPhase.UP
    assert _statuses(platform) == [HostStatus.LEAVING]
    platform.control.reboot("w1", operation_id="o1")
    assert platform.control.phase("w1") is HostPhase.UP
    clock.advance(5)
    assert _statuses(platform) == [HostStatus.LIVE]


def test_removed_host_stays_listed_for_the_lag(platform, clock):
    platform.hosts.declare([])
    clock.advance(4.9)
    assert len(_statuses(platform)) == 1
    clock.advance(0.1)
    assert _statuses(platform) == []
    with pytest.raises(PlatformError, match="not in the platform's host list"):
        platform.control.phase("w1")


def test_lease_lapses_unless_renewed(platform, clock):
    platform.tasks.start(START)
    clock.advance(9)
    platform.tasks.renew("t1", epoch=2, lease_s=10)
    clock.advance(9.9)
    assert platform.tasks.get("t1").state is TaskState.RUNNING
    clock.advance(0.1)
    assert platform.tasks.get("t1").state is TaskState.LEASE_EXPIRED
    with pytest.raises(PlatformError, match="has ended"):
        platform.tasks.renew("t1", epoch=2, lease_s=10)


def test_lower_epoch_is_refused_for_each_call(platform):
    platform.tasks.start(START)
    platform.tasks.renew("t1", epoch=3, lease_s=10)
    with pytest.raises(NotLeaseHolderError):
        platform.tasks.stop("t1", epoch=2)
    with pytest.raises(NotLeaseHolderError):
        platform.tasks.start(START._replace(task_id="t2"))
    assert platform.tasks.get("t2") is None


def test_repeated_start_runs_the_task_once(platform, clock):
    request = START._replace(command="duration_s=4 outcome=failed")
    platform.tasks.start(request)
    clock.advance(4)
    platform.tasks.start(request)
    assert [task.state for task in platform.tasks.list_tasks("w1")] == [
        TaskState.FAILED
    ]


def test_throttled_task_runs_longer_and_its_usage_lags(platform, clock):
    platform.tasks.start(START._replace(command="duration_s=4 processors=6"))
    platform.tasks.throttle("t1", epoch=2, ratio=0.5)
    assert platform.tasks.get("t1").usage.processors_count == 0
    clock.advance(4)
    task = platform.tasks.get("t1")
    assert (task.state, task.usage.processors_count) == (TaskState.THROTTLED, 3)
    clock.advance(4)
    assert platform.tasks.get("t1").state is TaskState.SUCCEEDED


def test_restart_from_checkpoint_keeps_progress(platform, clock):
    platform.tasks.start(START._replace(command="duration_s=8"))
    clock.advance(6)
    platform.tasks.checkpoint("t1", epoch=2)
    platform.control.reboot("w1", operation_id="o1")
    assert platform.tasks.get("t1").state is TaskState.STOPPED
    second = START._replace(
        task_id="t2", command="duration_s=8", checkpoint_key="checkpoints/t1"
    )
    with pytest.raises(PlatformError, match="takes no tasks"):
        platform.tasks.start(second)
    clock.advance(30)
    platform.tasks.start(second)
    clock.advance(2)
    assert platform.tasks.get("t2").state is TaskState.SUCCEEDED
