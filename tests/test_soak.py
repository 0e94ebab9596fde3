"""A short seeded run of the fault soak, and the seeds that once failed."""

import pytest

from soak.observer import Observer
from soak.run import run
from standins.memory_worker import MemoryWorker
from sycamorecroft.scheduling.calls import StartOrder

DURATION_S = 8.0
SEEDS = (
    1,
    # A new owner gave up runs before it had asked their worker, and started tasks again
    # whose ends the worker still listed.
    2,
    # The observer took a job as refused whose second submission was under way: it was
    # stored and started before it was answered.
    64,
)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults_from_outside(seed):
    """Guards against promises that break between real processes."""
    result = run(seed, DURATION_S)
    assert not result.broken, f"logs of the nodes: {result.folder}"
    assert result.accepted_count


def test_start_is_judged_when_each_submission_of_its_job_was_answered():
    """Guards against a refusal that was not true, and against a false alarm of one."""
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


def test_start_of_an_accepted_or_doubtful_job_is_allowed():
    """Guards against an observer that takes any refusal as the last word."""
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
