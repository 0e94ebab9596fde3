"""Short seeded runs of the fault soak, including seeds that failed before."""

import pytest

from soak.observer import Observer
from soak.run import run
from standins.memory_worker import MemoryWorker
from sycamorecroft.scheduling.calls import StartOrder

DURATION_S = 8.0
SEEDS = (
    1,
    # Failed when a new owner abandoned runs before it had asked their worker, and
    # restarted tasks whose outcomes the worker still listed.
    2,
    # Failed when the observer counted a job as refused while its second submission was
    # in flight: it was stored and started before that submission was answered.
    64,
)


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_external_faults(seed):
    """Guards against guarantees that do not hold between real processes."""
    result = run(seed, DURATION_S)
    assert not result.broken, f"logs of the nodes: {result.folder}"
    assert result.accepted_count


def test_start_is_checked_once_all_submissions_are_answered():
    """Guards against false refusals that go unnoticed, and against false alarms."""
    worker = MemoryWorker()
    observer = Observer([worker])
    observer.begin_submission("j1")
    observer.record_submission("j1", 503)
    observer.begin_submission("j1")
    worker.calls(1).start(StartOrder("j1.0.0.0", 1, "", worker.clock_ms + 1))
    observer.check_workers()
    assert not observer.broken
    observer.record_submission("j1", 429)
    observer.check_workers()
    assert observer.broken == ["task j1.0.0.0 of a refused job was started"]


def test_start_of_an_accepted_or_undecided_job_is_allowed():
    """Guards against an observer that treats each refusal as final."""
    worker = MemoryWorker()
    observer = Observer([worker])
    for job_id, status in (("j1", 200), ("j2", 504)):
        for answer in (503, status):
            observer.begin_submission(job_id)
            observer.record_submission(job_id, answer)
        name = f"{job_id}.0.0.0"
        worker.calls(1).start(StartOrder(name, 1, "", worker.clock_ms + 1))
    observer.check_workers()
    assert not observer.broken
