"""Short runs of the fault soak with fixed seeds, and tests of its observer."""

import pytest

from soak.observer import Observer
from soak.run import FaultKind, run
from standins.memory_worker import MemoryWorker
from sycamorecroft.scheduling.calls import StartOrder

DURATION_S = 8.0
SEEDS = (
    1,
    # A new owner abandoned runs before it had read the run list of their worker, and
    # restarted tasks whose outcomes the worker still listed.
    2,
    # The observer considered a job rejected while its second submission was in flight;
    # the submission was stored, and its task started, before the response.
    64,
)
RESTART_DURATION_S = 15.0
RESTART_SEEDS = (
    # Runs that a restarted worker had begun, or had ended as done, were taken for dead
    # and started again, mostly on the same worker (issue 30).
    24,
    25,
)


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_external_faults(seed):
    """Guards against violations of guarantees between real node processes."""
    result = run(seed, DURATION_S)
    assert not result.broken, f"logs of the nodes are in {result.folder}"
    assert result.accepted_count


@pytest.mark.parametrize("seed", RESTART_SEEDS)
def test_tasks_run_once_when_workers_restart_and_feeds_break_off(seed):
    """Guards against second runs of tasks that a restarted worker has begun.

    Sources of 267fca2 failed in each of four runs with either seed.
    """
    result = run(seed, RESTART_DURATION_S, faults=FaultKind.RESTARTS)
    assert not result.broken, f"logs of the nodes are in {result.folder}"
    assert result.accepted_count
    # Otherwise, the run shows nothing about the accounts beside the flood.
    assert result.beside_flood_count


def test_start_is_checked_once_each_submission_of_its_job_has_a_response():
    """Guards against starts of rejected jobs, and false alarms during a submission."""
    worker = MemoryWorker()
    observer = Observer(lambda: [worker])
    observer.record_submission_start("j1")
    observer.record_submission("j1", 503)
    observer.record_submission_start("j1")
    worker.calls(1).start(StartOrder("j1.0.0.0", 1, "", worker.clock_ms + 1))
    observer.check_workers()
    assert not observer.violations
    observer.record_submission("j1", 429)
    observer.check_workers()
    assert observer.violations == ["task j1.0.0.0 of a rejected job was started"]


def test_start_is_allowed_if_a_submission_was_accepted_or_its_outcome_is_unknown():
    """Guards against false alarms for jobs rejected at first and then accepted."""
    worker = MemoryWorker()
    observer = Observer(lambda: [worker])
    for job_id, status in (("j1", 200), ("j2", 504)):
        for response_status in (503, status):
            observer.record_submission_start(job_id)
            observer.record_submission(job_id, response_status)
        name = f"{job_id}.0.0.0"
        worker.calls(1).start(StartOrder(name, 1, "", worker.clock_ms + 1))
    observer.check_workers()
    assert not observer.violations


def test_guarantees_hold_on_a_site_with_many_nodes():
    """Guards against jobs that make no progress when many nodes watch the store.

    With seed 301, each long poll held a thread of the stand-in of the store until none
    was left for the transactions of the 24 nodes.
    """
    result = run(301, DURATION_S, nodes_count=24)
    assert not result.broken, f"logs of the nodes are in {result.folder}"
    assert result.accepted_count
