"""Outcome of a transaction with a token under random sequences of faults."""

import random
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from hypothesis import given, settings, strategies

from standins.memory_tables import MemoryTables
from sycamorecroft.errors import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store import Backoff, TokenRow, transact_with_token
from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    StorePurpose,
    TableService,
)

PURPOSE = StorePurpose.CLAIMS
CHECK = Check("claims", "k", None)


class _CallFault(StrEnum):
    """What happens to a call."""

    ANSWERED = "answered"
    DOWN = "down"
    LOST_RESPONSE = "lost_response"
    LOST_REQUEST = "lost_request"
    DELAYED = "delayed"


class _Event(StrEnum):
    """What happens before a call."""

    NOTHING = "nothing"
    DELIVERY = "delivery"
    OTHER_WRITER = "other_writer"


class _Step(NamedTuple):
    event: _Event
    fault: _CallFault


class _FatefulTables(MemoryTables):
    """Tables that apply one step to each call and answer all calls after the last."""

    def __init__(self, steps: Sequence[_Step]) -> None:
        super().__init__()
        self._steps = list(steps)
        self._delayed: list[tuple[Sequence[Check], Sequence[Put]]] = []
        self.commits_count = 0

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        if self._next_fault() is not _CallFault.ANSWERED:
            raise StoreUnavailableError("no answer")
        return super().read(table, key, purpose=purpose)

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        fault = self._next_fault()
        if fault is _CallFault.ANSWERED:
            return self._commit(checks, puts)
        if fault is _CallFault.DOWN:
            raise StoreUnavailableError("down")
        if fault is _CallFault.DELAYED:
            self._delayed.append((checks, puts))
        if fault is _CallFault.LOST_RESPONSE:
            self._try_commit(checks, puts)
        raise StoreOutcomeUnknownError("no answer")

    def deliver(self) -> None:
        """Applies the transactions that the network has delayed."""
        for checks, puts in self._delayed:
            self._try_commit(checks, puts)
        self._delayed.clear()

    def _next_fault(self) -> _CallFault:
        if not self._steps:
            return _CallFault.ANSWERED
        step = self._steps.pop(0)
        if step.event is _Event.DELIVERY:
            self.deliver()
        elif step.event is _Event.OTHER_WRITER:
            self._try_commit([CHECK], [Put("claims", "k", b'{"token":"other"}')])
        return step.fault

    def _try_commit(self, checks: Sequence[Check], puts: Sequence[Put]) -> None:
        try:
            self._commit(checks, puts)
        except StoreConflictError:
            return

    def _commit(self, checks: Sequence[Check], puts: Sequence[Put]) -> int:
        version = super().transact(checks, puts, purpose=PURPOSE)
        self.commits_count += 1
        return version


def _outcome(tables: TableService) -> int | type[Exception]:
    try:
        return transact_with_token(
            tables,
            [CHECK],
            [Put("claims", "k", b'{"token":"mine"}')],
            TokenRow("claims", "k", "mine"),
            purpose=PURPOSE,
            backoff=Backoff(0.1, 1.0, random.Random(1)),
            sleep=lambda delay_s: None,
        )
    except (
        StoreConflictError,
        StoreOutcomeUnknownError,
        StoreUnavailableError,
    ) as error:
        return type(error)


# The seed is derived from the name and the source of the test.
@settings(max_examples=2000, derandomize=True, database=None, deadline=None)
@given(
    strategies.lists(
        strategies.builds(
            _Step, strategies.sampled_from(_Event), strategies.sampled_from(_CallFault)
        ),
        max_size=6,
    )
)
def test_reported_outcome_is_the_outcome(steps: list[_Step]):
    """Guards against a dispatch without a claim, and against a claim left behind."""
    tables = _FatefulTables(steps)
    outcome = _outcome(tables)
    tables._steps.clear()
    tables.deliver()
    assert tables.commits_count <= 1
    row = tables.read("claims", "k", purpose=PURPOSE)
    is_mine = row is not None and row.value == b'{"token":"mine"}'
    if isinstance(outcome, int):
        assert is_mine and row.version == outcome
    elif outcome is not StoreOutcomeUnknownError:
        assert not is_mine
