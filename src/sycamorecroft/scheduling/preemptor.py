"""Stops the runs that preemption chooses, and holds their workers."""

from collections import deque
from collections.abc import Mapping

import structlog

from sycamorecroft.metrics import PREEMPTED_RUNS
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.capacity_holds import CapacityHolds
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.preemption import (
    Preemption,
    PreemptionState,
    StoppedRun,
    plan_preemptions,
)
from sycamorecroft.scheduling.quota_gate import QuotaGate
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.run_tracker import RunTracker
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.worker_health import run_list_age_s
from sycamorecroft.scheduling.workers import Worker

_log = structlog.get_logger(__name__)

DECISION_INTERVAL_S = 0.1
# Share of the service's capacity over this time that may be lost by preemption.
BUDGET_RATIO = 0.05
BUDGET_WINDOW_S = 10.0
# Nothing is preempted for this time after an unexpected error.
ERROR_PAUSE_S = 1.0


class LostWork:
    """Work that preemption has lost within the last 10 s. Not thread-safe."""

    def __init__(self) -> None:
        self._lost: deque[tuple[float, float]] = deque()

    def record(self, lost_core_s: float, now_s: float) -> None:
        """Records work that is lost from now on."""
        self._lost.append((now_s, lost_core_s))

    def left_core_s(self, workers: Mapping[str, Worker], now_s: float) -> float:
        """
        :returns: work that may be lost now, from the capacity of the workers that
            accept tasks.
        """
        while self._lost and now_s - self._lost[0][0] >= BUDGET_WINDOW_S:
            self._lost.popleft()
        cores_count = sum(
            worker.registration.capacity.cpu_millicores / 1000
            for worker in workers.values()
            if worker.accepts_tasks(now_s)
        )
        lost_core_s = sum(lost for _, lost in self._lost)
        return BUDGET_RATIO * BUDGET_WINDOW_S * cores_count - lost_core_s


class Preemptor:
    """Preempts runs of one service. Not thread-safe."""

    def __init__(
        self,
        service: str,
        epoch: int,
        workers: Mapping[str, Worker],
        ranking: JobRanking,
        durations: RunDurations,
        holds: CapacityHolds,
        runs: RunTracker,
        quotas: QuotaGate,
        usage: AccountUsage,
        recorder: Recorder,
        *,
        stop_s: float,
        is_enabled: bool,
    ) -> None:
        """
        :param epoch: epoch of the owner's claim, for log lines.
        :param quotas: tells which accounts may get further runs.
        :param usage: what the runs of each account use.
        :param stop_s: time in seconds that a worker may take to stop a run.
        :param is_enabled: whether runs may be preempted while there are accounts.
        """
        self._service = service
        self._epoch = epoch
        self._workers = workers
        self._ranking = ranking
        self._durations = durations
        self._holds = holds
        self._runs = runs
        self._recorder = recorder
        self._stop_s = stop_s
        self._is_enabled = is_enabled
        self._quotas = quotas
        self._usage = usage
        self._lost_work = LostWork()
        self._decided_s: float | None = None
        self._paused_until_s = float("-inf")

    def preempt(self, waiting: WaitingJobs, now_s: float) -> None:
        """Stops runs for urgent jobs that a placement has left without a worker."""
        try:
            self._preempt(waiting, now_s)
        except Exception:
            # What was placed must be stored and started all the same.
            self._paused_until_s = now_s + ERROR_PAUSE_S
            _log.exception("preemption_failed", service=self._service)

    def _preempt(self, waiting: WaitingJobs, now_s: float) -> None:
        if not (self._is_enabled and self._ranking.has_accounts):
            return
        if now_s < self._paused_until_s:
            return
        if self._decided_s is not None and (
            0 <= now_s - self._decided_s < DECISION_INTERVAL_S
        ):
            return
        self._decided_s = now_s
        jobs = waiting.jobs()
        # A placement ends the holds of steps that don't wait only if there is room.
        self._holds.refresh(self._workers, now_s)
        state = PreemptionState(
            self._workers,
            self._holds.steps_by_worker(),
            self._ranking,
            self._durations,
            self._quotas,
            self._usage,
            self._stop_s,
            self._lost_work.left_core_s(self._workers, now_s),
        )
        left_core_s = state.budget_core_s
        for preemption in plan_preemptions(state, jobs, now_s):
            left_core_s = self._carry_out(preemption, left_core_s, now_s)

    def _carry_out(
        self, preemption: Preemption, left_core_s: float, now_s: float
    ) -> float:
        """
        :param left_core_s: work that may be lost now.
        :returns: work that may be lost afterwards.
        """
        self._holds.hold(
            preemption.job, preemption.step_id, preemption.worker_ids, now_s
        )
        for item in preemption.runs:
            item.run.task.is_preempted = True
            self._lost_work.record(item.lost_core_s, now_s)
            self._recorder.count(PREEMPTED_RUNS, service=self._service)
            left_core_s -= item.lost_core_s
            self._log(preemption, item, left_core_s, now_s)
            self._runs.stop_run(item.run, now_s)
        return left_core_s

    def _log(
        self, preemption: Preemption, item: StoppedRun, left_core_s: float, now_s: float
    ) -> None:
        run, job = item.run, preemption.job
        expected_s = preemption.expected_end_s
        _log.info(
            "run_preempted",
            service=self._service,
            epoch=self._epoch,
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker_id,
            list_age_s=run_list_age_s(self._workers[run.worker_id], now_s),
            account=run.task.job.account,
            lost_core_s=round(item.lost_core_s, 3),
            budget_left_core_s=round(left_core_s, 3),
            for_job=job.id,
            for_account=job.account,
            objective_in_s=round(job.objective_end_s - now_s, 3),
            expected_end_in_s=(
                None if expected_s is None else round(expected_s - now_s, 3)
            ),
            preempting_end_in_s=round(preemption.preempting_end_s - now_s, 3),
        )
