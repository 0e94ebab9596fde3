"""Tests of the log lines and counts that explain why a run was considered over."""

from structlog.testing import capture_logs

from standins.service_driver import ServiceDriver, Site, make_step

OWNER_TIMEOUT_S = 20.0


def _expiries(logs):
    return [
        (line["task"], line["attempt"], line["reason"])
        for line in logs
        if line["event"] == "run_expired"
    ]


def test_expiry_after_a_restart_is_told_from_absence_in_a_run_list():
    """Guards against doubled runs whose log doesn't say why the first was given up.

    The first task was listed by the former incarnation; the second was started, and
    confirmed, but not listed before the restart.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    site.submit("j2", make_step(1))
    owner.run_steps(1)
    site.workers["w0"].restart()
    with capture_logs() as logs:
        owner.run_steps(2)
    assert sorted(_expiries(logs)) == [
        ("j1.0.0.0", 1, "restarted"),
        ("j2.0.0.0", 1, "not_listed"),
    ]


def test_expired_lease_is_logged_with_its_reason():
    """Guards against silent workers and restarted ones looking alike in the log."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    site.workers["w0"].is_unreachable = True
    site.clock.advance(OWNER_TIMEOUT_S)
    with capture_logs() as logs:
        owner.run_steps(2)
    assert _expiries(logs) == [("j1.0.0.0", 1, "lease_ended")]


def test_adopted_runs_are_logged():
    """Guards against takeovers whose log doesn't say which runs were assumed."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    with capture_logs() as logs:
        ServiceDriver(site, 2)
    adopted = [line for line in logs if line["event"] == "run_adopted"]
    assert [(line["task"], line["attempt"]) for line in adopted] == [("j1.0.0.0", 1)]
    assert adopted[0]["is_worker_registered"]


def test_stop_without_an_answer_is_logged():
    """Guards against tasks that run on with no line on the order to stop them."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    site.workers["w0"].is_unreachable = True
    site.cancel("j1")
    with capture_logs() as logs:
        owner.run_steps(1)
    (line,) = [line for line in logs if line["event"] == "stop_not_confirmed"]
    assert (line["task"], line["attempt"]) == ("j1.0.0.0", 1)
    assert (line["worker"], line["status"]) == ("w0", "unknown")
