"""Tests of runs whose worker crashes before it has listed them."""

from standins.service_driver import ServiceDriver, Site, make_step

# A lasting task has to run again 6 s after its last run, and may lack 3 s more.
RESTART_LIMIT_S = 9.0
STEP_S = 0.2


def test_lasting_task_runs_again_in_time_if_its_worker_crashes_after_the_start():
    """Guards against a lasting task that waits for a lease that nobody was granted.

    The worker has confirmed the start with a deadline 6 s ahead, on a connection that
    was opened for this order, and crashes for good before its next run list.
    """
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1, is_long_running=True))
    while not site.started_count("j1.0.0.0"):
        owner.step()
    crashed = next(worker for worker in site.workers.values() if worker.started)
    crashed.is_unreachable = True
    crashed_s = site.clock.monotonic_s()
    while site.started_count("j1.0.0.0") < 2:
        site.advance(STEP_S)
        owner.step()
    assert site.clock.monotonic_s() - crashed_s <= RESTART_LIMIT_S
