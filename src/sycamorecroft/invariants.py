"""Checks of the design's invariants, called by decision code and by tests.

Each check raises :class:`~sycamorecroft.errors.InvariantError` and names the
values that violate the invariant. The identifiers (I1 to I10) are those of
``docs/invariants.md``.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sycamorecroft.errors import InvariantError


class PoolAvailability(NamedTuple):
    """Number of hosts in a pool and of those out of service for planned work."""

    pool: str
    hosts_count: int
    planned_out_count: int
    max_unavailable_ratio: float


def _require(holds: bool, message: str) -> None:
    if not holds:
        raise InvariantError(message)


def check_availability_budget(availability: PoolAvailability) -> None:
    """I1: planned work keeps each pool within its availability budget.

    :raises InvariantError: if more hosts are out for planned work than allowed.
    """
    allowed_count = int(
        availability.hosts_count * availability.max_unavailable_ratio + 1e-9
    )
    _require(
        availability.planned_out_count <= allowed_count,
        f"I1: pool {availability.pool!r} has {availability.planned_out_count} hosts "
        f"out for planned work, at most {allowed_count} are allowed",
    )


def check_single_pool(pools_by_host: Iterable[tuple[str, str]]) -> None:
    """I2: each host belongs to exactly one pool.

    :param pools_by_host: pairs of host and pool, one for each membership.
    :raises InvariantError: if a host occurs with two pools.
    """
    seen: dict[str, str] = {}
    for host, pool in pools_by_host:
        other = seen.setdefault(host, pool)
        _require(other == pool, f"I2: host {host!r} is in pools {other!r} and {pool!r}")


def check_answer_matches_request(
    expected_request_id: str, response_request_id: str | None
) -> None:
    """I3: a response belongs to the request it is returned for.

    :param response_request_id: request id that the backend server echoed, ``None`` if
        it echoes none.
    :raises InvariantError: if the response names another request.
    """
    _require(
        response_request_id in (None, expected_request_id),
        f"I3: response to request {response_request_id!r} arrived for request "
        f"{expected_request_id!r}",
    )


def check_not_run_is_true(request_id: str, bytes_sent: bool, refused: bool) -> None:
    """I4: a request reported as not run was never sent or was refused before it ran.

    :param bytes_sent: whether the last attempt wrote a byte to a connected socket.
    :param refused: whether the last attempt received a configured refusal status.
    :raises InvariantError: if the request may have run.
    """
    _require(
        refused or not bytes_sent,
        f"I4: request {request_id!r} is reported as not run but may have run",
    )


def check_single_dispatch(request_id: str, uncertain_attempts_count: int) -> None:
    """I5: a request that is not repeatable is resent only if it certainly did not run.

    :param uncertain_attempts_count: number of earlier attempts that may have run.
    :raises InvariantError: if an earlier attempt may have run.
    """
    _require(
        uncertain_attempts_count == 0,
        f"I5: request {request_id!r} is not repeatable and may already have run",
    )


def check_no_grant_to_draining(host: str, draining_for_s: float | None) -> None:
    """I6: an owner whose view shows a host as draining grants no slots on it.

    :param draining_for_s: seconds since the owner's view first showed the host as
        draining, ``None`` while it is active.
    :raises InvariantError: if the host is draining.
    """
    _require(
        draining_for_s is None,
        f"I6: slot granted on host {host!r}, which has been draining for "
        f"{draining_for_s} s",
    )


def check_drained_before_exit(in_flight_count: int) -> None:
    """I7: a planned stop completes only once no request is in flight.

    :raises InvariantError: if requests are in flight.
    """
    _require(
        in_flight_count == 0,
        f"I7: planned stop completed with {in_flight_count} requests in flight",
    )


def check_version_never_falls(current_version: int, next_version: int) -> None:
    """I8: the version in force never decreases.

    :raises InvariantError: if ``next_version`` is lower.
    """
    _require(
        next_version >= current_version,
        f"I8: version {next_version} would replace version {current_version}",
    )


def check_job_single_attempt(job_id: str, live_attempts: Iterable[int]) -> None:
    """I9: a job has at most one attempt that may still be running.

    :raises InvariantError: if several attempts may be running.
    """
    attempts = tuple(live_attempts)
    _require(
        len(attempts) <= 1,
        f"I9: job {job_id!r} has live attempts {attempts}",
    )


def check_slots_within_limit(
    granted_counts: Mapping[str, int], slots_counts: Mapping[str, int]
) -> None:
    """I10: an owner grants at most as many slots of a worker as the worker has.

    :param granted_counts: granted slots by host.
    :param slots_counts: slots of the worker on each host.

    :raises InvariantError: if a worker has more grants than slots.
    """
    for host, granted_count in granted_counts.items():
        slots_count = slots_counts.get(host, 0)
        _require(
            granted_count <= slots_count,
            f"I10: host {host!r} has {granted_count} grants for {slots_count} slots",
        )
