"""Durations to expect of runs, from estimates and from what runs have taken."""

from sycamorecroft.scheduling.model import StepSpec
from sycamorecroft.scheduling.tasks import Run

# Weight of a run in the decaying sums of actual and estimated durations. About 16 runs
# determine their ratio, so that the noise of single estimates averages out.
RATIO_WEIGHT = 1 / 16
# Estimates are taken as they are until this many runs have ended.
RATIO_SAMPLES_MIN_COUNT = 8
# The ratio in use follows the measured one when they differ by more than this share.
# Expected ends that were computed with it stay valid in between.
RATIO_TOLERANCE = 0.1
# The gain of a wait is counted with at most this ratio. One queue's estimates may be
# far too low and those of another right, whose tasks would then wait for too long.
# A pool whose estimates are all ten times too low ran 45% of its tasks far with 2, 14%
# with 4, and 4% without a limit (standins/near_wait_load.py, 0.8 jobs a second).
EXTRA_RATIO_LIMIT = 4.0
# A run that has taken longer than expected is expected to go on for this share of the
# time that it has taken so far. The remaining time of a duration with a long tail grows
# with the time that has passed.
OVERDUE_SHARE = 0.25


class RunDurations:
    """Measures how long runs take compared with their estimates. Not thread-safe.

    Runs far from their data take ``slowdown_ratio`` times as long. Their durations are
    divided by it, so that they tell about estimates and workers and not about distance.

    :ivar slowdown_ratio: factor by which distance prolongs a run, 1 if it doesn't.
    :ivar estimate_ratio: ratio of actual to estimated duration in use.
    """

    def __init__(self, slowdown_ratio: float = 1.0) -> None:
        self.slowdown_ratio = slowdown_ratio
        self.estimate_ratio = 1.0
        self._actual_s = 0.0
        self._estimated_s = 0.0
        self._samples_count = 0

    def slowdown_s(self, run: Run, now_s: float) -> float:
        """
        :returns: the part of a run's duration up to now that is due to distance.
        """
        if not run.is_far:
            return 0.0
        return (now_s - run.started_s) * (1 - 1 / self.slowdown_ratio)

    def record(self, run: Run, now_s: float) -> None:
        """Records a run that was done now."""
        spec = run.task.spec
        # It isn't known whether the step of a rack-local task ran on several racks. The
        # start of a run of a former owner isn't known.
        if not spec.estimate_ms or spec.is_rack_local or run.is_adopted:
            return
        actual_s = now_s - run.started_s - self.slowdown_s(run, now_s)
        self._actual_s += RATIO_WEIGHT * (actual_s - self._actual_s)
        self._estimated_s += RATIO_WEIGHT * (
            spec.estimate_ms / 1000 - self._estimated_s
        )
        self._samples_count += 1
        if self._samples_count >= RATIO_SAMPLES_MIN_COUNT:
            self._update_ratio()

    def _update_ratio(self) -> None:
        ratio = self._actual_s / self._estimated_s
        if abs(ratio - self.estimate_ratio) > RATIO_TOLERANCE * self.estimate_ratio:
            self.estimate_ratio = ratio

    def near_s(self, spec: StepSpec) -> float:
        """
        :returns: expected duration of a task of the step near its data.
        """
        return spec.estimate_ms / 1000 * self.estimate_ratio

    def extra_s(self, spec: StepSpec) -> float:
        """
        :returns: by how much longer a task of the step takes far from its data, as far
            as that is certain.
        """
        ratio = min(self.estimate_ratio, EXTRA_RATIO_LIMIT)
        return spec.estimate_ms / 1000 * ratio * (self.slowdown_ratio - 1)

    def end_s(self, run: Run) -> float:
        """
        :returns: monotonic time at which the run is expected to end; may have passed.
        """
        slowdown_ratio = self.slowdown_ratio if run.is_far else 1.0
        return run.started_s + self.near_s(run.task.spec) * slowdown_ratio


def overdue_end_s(started_s: float, now_s: float) -> float:
    """
    :returns: monotonic time at which a run is expected to end that should have ended.
    """
    return now_s + OVERDUE_SHARE * (now_s - started_s)
