"""Outcome of a transaction with a token under any sequence of faults."""

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


class _Fate(StrEnum):
    """What happens to one call."""

    ANSWERED = "answered"
    DOWN = "down"
    LOST_RESPONSE = "lost_response"
    LOST_REQUEST = "lost_request"
    DELAYED = "delayed"


class _Event(StrEnum):
    """What happens before one call."""

    NOTHING = "nothing"
    DELIVERY = "delivery"
    OTHER_WRITER = "other_writer"


class _Step(NamedTuple):
    event: _Event
    fate: _Fate


class _FatefulTables(MemoryTables):
    """Applies one step to each call; all calls after the last step are answered."""

    def __init__(self, steps: Sequence[_Step]) -> None:
        super().__init__()
        self._steps = list(steps)
        self._delayed: list[tuple[Sequence[Check], Sequence[Put]]] = []
        self.commits_count = 0

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        if self._next_fate() is not _Fate.ANSWERED:
            raise StoreUnavailableError("no answer")
        return super().read(table, key, purpose=purpose)

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        fate = self._next_fate()
        if fate is _Fate.ANSWERED:
            return self._commit(checks, puts)
        if fate is _Fate.DOWN:
            raise StoreUnavailableError("down")
        if fate is _Fate.DELAYED:
            self._delayed.append((checks, puts))
        if fate is _Fate.LOST_RESPONSE:
            self._try_commit(checks, puts)
        raise StoreOutcomeUnknownError("no answer")

    def deliver(self) -> None:
        """Applies delayed transactions, as a network that held them back."""
        for checks, puts in self._delayed:
            self._try_commit(checks, puts)
        self._delayed.clear()

    def _next_fate(self) -> _Fate:
        if not self._steps:
            return _Fate.ANSWERED
        step = self._steps.pop(0)
        if step.event is _Event.DELIVERY:
            self.deliver()
        elif step.event is _Event.OTHER_WRITER:
            self._try_commit([CHECK], [Put("claims", "k", b'{"token":"other"}')])
        return step.fate

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


@settings(max_examples=2000, derandomize=True, database=None, deadline=None)
@given(
    strategies.lists(
        strategies.builds(
            _Step, strategies.sampled_from(_Event), strategies.sampled_from(_Fate)
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
