"""Tests of workers that start again under their id as another kind."""

import pytest

from standins.service_driver import ServiceDriver, Site, make_step

STEPS_COUNT = 5


@pytest.fixture
def site():
    return Site(workers_count=1)


def _register(site, kind):
    incarnation_ms = site.workers["w0"].incarnation_ms
    site.registrations["w0"] = site.registrations["w0"]._replace(
        labels=(kind, "r0"), incarnation_ms=incarnation_ms
    )


def test_labels_of_a_former_registration_take_no_task_that_requires_them(site):
    """Guards against a start on a worker without the required label.

    The run lists of the new incarnation come before its registration.
    """
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    site.workers["w0"].restart()
    site.submit("j1", make_step(1, required_label="a"))
    site.submit("j2", make_step(1, required_label="b"))
    site.submit("j3", make_step(1, preferred_rack="r0"))
    owner.run_steps(STEPS_COUNT)
    assert set(site.workers["w0"].running) == {"j3.0.0.0"}
    _register(site, "b")
    owner.run_steps(STEPS_COUNT)
    assert set(site.workers["w0"].running) == {"j2.0.0.0", "j3.0.0.0"}


def test_worker_that_has_registered_again_runs_tasks_that_require_its_label(site):
    """Guards against a worker that stays unused after a restart as the same kind."""
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    site.workers["w0"].restart()
    owner.run_steps(2)
    _register(site, "a")
    site.submit("j1", make_step(1, required_label="a"))
    owner.run_steps(STEPS_COUNT)
    assert site.started_count("j1.0.0.0") == 1
