"""Places a load whose tasks prefer racks, in virtual time, on a pool of given size.

Runs take as long as the model says, and their ends are known at once: only the
decisions of the placer are compared, not a whole service.
"""

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from standins.service_driver import (
    SERVICE,
    make_placer,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.scheduling.job_ranking import USEFUL_OBJECTIVE_RATIO, JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.near_placement import Decide, NearPlacement
from sycamorecroft.scheduling.near_wait import (
    NearReason,
    NearWaitTimes,
    WaitDecision,
)
from sycamorecroft.scheduling.rack_queue import NEVER_S
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.tasks import Run
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.workers import Worker

START_S = 100.0
TICK_S = 0.25
WORKER_MILLICORES = 32_000
TASKS_PER_JOB_COUNT = 8
TASK_MILLICORES = 4000


class NearLoad(NamedTuple):
    """A load, and the pool that it is placed on.

    ``jobs_per_s``: rates of arrival in consecutive phases of ``phase_s`` each.
    ``hot_ratio``: share of the jobs that prefer the first rack; the others prefer any
    of the racks, or none for ``free_ratio`` of all. ``noise_ratio``: largest factor
    between a task's actual duration and its estimate, in both directions.
    ``bias_ratio``: factor by which all estimates are too low.
    """

    jobs_per_s: tuple[float, ...]
    hot_ratio: float = 0.0
    free_ratio: float = 0.3
    slowdown_ratio: float = 3.0
    racks_count: int = 5
    workers_per_rack_count: int = 8
    phase_s: float = 4.0
    noise_ratio: float = 1.5
    bias_ratio: float = 1.0


class NearResult(NamedTuple):
    """Shares of the jobs and of the starts, and the mean time to a job's end.

    ``in_time_ratio``: jobs that met their objective. ``useful_ratio``: jobs that ended
    within three times their objective. ``far_ratio``: starts far from the data among
    those of tasks that prefer a rack.
    """

    in_time_ratio: float
    useful_ratio: float
    mean_s: float
    far_ratio: float
    longest_wait_s: float


def decide_no_wait(
    times: NearWaitTimes, join: Callable[[float], float]
) -> WaitDecision:
    """Places each task at once, far from its data if need be."""
    del join
    return WaitDecision(NearReason.TIME_UP, NEVER_S, times.now_s)


def fixed_delay(delay_s: float) -> Decide:
    """
    :returns: decision by which each task waits for up to ``delay_s``.
    """

    def decide(times: NearWaitTimes, join: Callable[[float], float]) -> WaitDecision:
        del join
        limit_s = times.waiting_since_s + delay_s
        is_over = limit_s <= times.now_s
        reason = NearReason.TIME_UP if is_over else NearReason.SOONER
        return WaitDecision(reason, NEVER_S, limit_s)

    return decide


def play(load: NearLoad, decide: Decide, seed: int) -> NearResult:
    """
    :param decide: decides on each task whose rack has no place for it.
    :returns: the result, once all jobs have ended.
    """
    return _Play(load, decide, random.Random(seed)).run()


class _Play:
    def __init__(self, load: NearLoad, decide: Decide, rng: random.Random) -> None:
        self._load = load
        self._random = rng
        self._now_s = START_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._waiting = WaitingJobs()
        self._workers = {
            f"w{number}": self._create_worker(number)
            for number in range(load.racks_count * load.workers_per_rack_count)
        }
        self._jobs: dict[str, Job] = {}
        self._ended_s: dict[str, float] = {}
        self._durations = RunDurations(load.slowdown_ratio)
        self._near = NearPlacement(
            SERVICE,
            1,
            self._workers,
            self._durations,
            JobRanking(),
            decide,
        )
        self._placer = make_placer(self._workers, self._near)
        self._starts_count = 0
        self._far_count = 0
        self._longest_wait_s = 0.0

    def _create_worker(self, number: int) -> Worker:
        rack = f"r{number // self._load.workers_per_rack_count}"
        registration = make_registration(
            f"w{number}", rack=rack, cpu_millicores=WORKER_MILLICORES
        )
        return Worker(registration, 0.0)

    def run(self) -> NearResult:
        for phase, rate in enumerate(self._load.jobs_per_s):
            for number in range(int(rate * self._load.phase_s)):
                at_s = START_S + self._load.phase_s * phase + number / rate
                self._at(at_s, self._submit)
        while self._events:
            at_s = self._events[0][0]
            self._now_s = min(at_s, self._now_s + TICK_S, self._near.due_s)
            while self._events and self._events[0][0] <= self._now_s:
                heapq.heappop(self._events)[2]()
            self._place()
        return self._result()

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _submit(self) -> None:
        load, rng = self._load, self._random
        rack = f"r{rng.randrange(load.racks_count)}"
        roll = rng.random()
        if roll < load.hot_ratio:
            rack = "r0"
        elif roll > 1 - load.free_ratio:
            rack = ""
        step = make_step(TASKS_PER_JOB_COUNT, TASK_MILLICORES, preferred_rack=rack)
        step = step._replace(estimate_ms=int(rng.uniform(680, 1300)))
        job_id = f"j{len(self._jobs):05}"
        now_ms = int(self._now_s * 1000)
        row = JobRow(make_queue(), JobSpec(job_id, (step,)), now_ms)
        job = Job(job_id, row, self._now_s, now_ms)
        job.start_due_occurrences(self._now_s, now_ms)
        self._jobs[job_id] = job
        self._waiting.add(job)

    def _place(self) -> None:
        for worker in self._workers.values():
            worker.last_contact_s = self._now_s
        waiting = [
            task
            for job in self._waiting.jobs()
            for step in job.waiting_steps()
            for task in step.waiting
        ]
        self._placer.place(self._waiting, self._now_s)
        for task in waiting:
            if task.run is not None:
                self._start(task.run)

    def _start(self, run: Run) -> None:
        load, spec = self._load, run.task.spec
        noise = load.noise_ratio ** self._random.uniform(-1, 1)
        duration_s = spec.estimate_ms / 1000 * load.bias_ratio * noise
        if run.is_far:
            duration_s *= load.slowdown_ratio
        if spec.preferred_rack:
            self._starts_count += 1
            self._far_count += run.is_far
            waited_s = self._now_s - run.task.waiting_since_s
            self._longest_wait_s = max(self._longest_wait_s, waited_s)
        self._at(self._now_s + duration_s, lambda: self._end(run))

    def _end(self, run: Run) -> None:
        task = run.task
        self._workers[run.worker_id].remove(run)
        task.run = None
        task.is_done = True
        self._durations.record(run, self._now_s)
        if task.job.is_complete():
            self._ended_s[task.job.id] = self._now_s

    def _result(self) -> NearResult:
        jobs = self._jobs.values()
        taken = [(job, self._ended_s[job.id] - job.accepted_s) for job in jobs]
        allowed = {job.id: job.objective_end_s - job.accepted_s for job in jobs}
        in_time = sum(taken_s <= allowed[job.id] for job, taken_s in taken)
        useful = sum(
            taken_s <= USEFUL_OBJECTIVE_RATIO * allowed[job.id]
            for job, taken_s in taken
        )
        return NearResult(
            in_time / len(taken),
            useful / len(taken),
            sum(taken_s for _, taken_s in taken) / len(taken),
            self._far_count / max(1, self._starts_count),
            self._longest_wait_s,
        )
