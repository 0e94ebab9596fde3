"""Tests of at-most-once claims under faults, races and a limited store budget."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from random import Random

import pytest

from standins.faults import FaultInjector, Operation
from standins.memory_objects import MemoryObjects
from standins.memory_tables import MemoryTables
from standins.scripted_tables import ScriptedTables
from sycamorecroft.claims import (
    ClaimKey,
    ClaimService,
    ClaimSettings,
    HeldClaim,
    PendingClaim,
    RecordedResponse,
)
from sycamorecroft.claims.records import (
    CLAIMS_DAY_TABLES,
    CLAIMS_TABLE,
    DAYS_TABLE,
    INLINE_BODY_MAX_BYTES,
)
from sycamorecroft.clock import SystemClock
from sycamorecroft.errors import NotRunError, RequestError
from sycamorecroft.store import GuardedTableService, StoreBudget
from sycamorecroft.store.budget import StoreRate
from sycamorecroft.store.day_index import DayRetention, RetentionSettings
from sycamorecroft.store.insert_batcher import BatchSettings
from sycamorecroft.store.interfaces import StorePurpose

KEY = ClaimKey("ondangwa", "rating", "key-1")
RESPONSE = RecordedResponse(200, {"Content-Type": "text/plain"}, b"rated")


class Store:
    """Rows and objects shared by the claim services of several entry hosts."""

    def __init__(self):
        self.tables = MemoryTables()
        self.objects = MemoryObjects()
        self.services = []

    def entry_host(self, tables=None, **settings):
        tables = tables or self.tables.connect(FaultInjector(timeout_s=None))
        service = ClaimService(
            tables, self.objects, SystemClock(), settings=ClaimSettings(**settings)
        )
        service.start()
        self.services.append(service)
        return service

    def rows(self, table=CLAIMS_TABLE):
        return self.tables.scan(table, purpose=StorePurpose.CLAIMS).rows


@pytest.fixture
def store():
    store = Store()
    yield store
    for service in store.services:
        service.stop()


def claim(service, key=KEY, *, digest="digest", timeout_s=2.0):
    deadline_s = time.monotonic() + timeout_s
    return service.claim(key, body_digest=digest, deadline_s=deadline_s)


def wait_for(condition, timeout_s=5.0):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


def test_claim_whose_response_was_lost_is_held(store):
    """Guards against a lost response that blocks the request or its key forever."""
    tables = store.tables.connect()
    tables.faults.lose_responses(count=1)
    assert isinstance(claim(store.entry_host(tables)), HeldClaim)


def test_claim_with_unknown_outcome_is_refused_and_released_later(store):
    """Guards against a claim without a holder that blocks its key forever."""
    tables = ScriptedTables(store.tables)
    service = store.entry_host(tables)
    tables.holds_writes = True
    with pytest.raises(NotRunError) as error:
        claim(service)
    assert error.value.reason == "store_unavailable"
    tables.holds_writes = False
    tables.deliver()
    assert store.rows()
    wait_for(lambda: not store.rows())
    assert isinstance(claim(service), HeldClaim)


def test_paused_claimant_keeps_its_claim(store):
    """Guards against a second dispatch while the first claimant is paused."""
    first, second = store.entry_host(), store.entry_host()
    held = claim(first)
    assert claim(second) == PendingClaim(KEY)
    first.record(held, RESPONSE)
    assert first.wait_until_written(2.0)
    assert claim(second) == RESPONSE
    assert claim(first) == RESPONSE


@pytest.mark.parametrize("takes_effect", [False, True])
@pytest.mark.parametrize("fail_at", range(1, 9))
def test_fault_at_any_store_call_allows_one_dispatch(store, fail_at, takes_effect):
    """Guards against a fault that causes a second dispatch or loses a record."""
    tables = ScriptedTables(store.tables)
    tables.fail_at, tables.takes_effect = fail_at, takes_effect
    service = store.entry_host(tables)
    dispatches_count = 0
    for _ in range(4):
        try:
            result = claim(service)
        except NotRunError:
            assert service.wait_until_written(5.0)
            continue
        if isinstance(result, HeldClaim):
            dispatches_count += 1
            service.record(result, RESPONSE)
            assert service.wait_until_written(5.0)
    assert dispatches_count == 1
    assert claim(store.entry_host()) == RESPONSE


@pytest.mark.parametrize("record_first", [False, True])
def test_same_key_with_another_body_is_an_error(store, record_first):
    """Guards against replaying the response to one body for another body."""
    service = store.entry_host()
    held = claim(service)
    if record_first:
        service.record(held, RESPONSE)
        assert service.wait_until_written(2.0)
    with pytest.raises(RequestError, match="new request under a new key"):
        claim(service, digest="other")


def test_conflict_of_one_claim_does_not_fail_its_batch(store):
    """Guards against a repeated request that fails its whole batch.

    The other claims of the batch must not read their rows either.
    """
    claimed = ClaimKey("ondangwa", "rating", "key-7")
    claim(store.entry_host(), claimed)
    service = store.entry_host(batch=BatchSettings(window_s=0.1))
    keys = [ClaimKey("ondangwa", "rating", f"key-{n}") for n in range(20)]
    with ThreadPoolExecutor(20) as pool:
        results = list(pool.map(lambda key: claim(service, key), keys))
    pending = [key for key, r in zip(keys, results, strict=True) if r == (key,)]
    assert pending == [claimed]
    assert store.tables.call_counts()[StorePurpose.CLAIMS, Operation.READ] == 1


def test_threads_of_several_entry_hosts_hold_each_key_once(store):
    """Guards against two holders of one key among several hundred threads."""
    services = [store.entry_host() for _ in range(3)]
    keys = [ClaimKey("ondangwa", "rating", f"key-{n % 40}") for n in range(300)]
    start = threading.Barrier(len(keys))

    def claim_together(item):
        start.wait()
        return claim(services[item[0] % 3], item[1], timeout_s=20.0)

    with ThreadPoolExecutor(len(keys)) as pool:
        results = list(pool.map(claim_together, enumerate(keys)))
    held = [result.key for result in results if isinstance(result, HeldClaim)]
    assert sorted(held) == sorted(set(keys))


def test_claims_beyond_the_store_budget_are_refused_within_it(store):
    """Guards against exceeding the store budget, and against one write per claim."""
    rates = {StorePurpose.CLAIMS: StoreRate(10, 100)}
    budget = StoreBudget(1.0, time.monotonic(), rates=rates)
    guarded = GuardedTableService(
        store.tables, budget=budget, clock=SystemClock(), random_source=Random(1)
    )
    service = store.entry_host(guarded, batch=BatchSettings(inserts_max_count=4))
    keys = [ClaimKey("ondangwa", "rating", f"key-{n}") for n in range(200)]

    def claim_or_reason(key):
        try:
            return claim(service, key)
        except NotRunError as error:
            return error.reason

    with ThreadPoolExecutor(len(keys)) as pool:
        results = list(pool.map(claim_or_reason, keys))
    held = [result for result in results if isinstance(result, HeldClaim)]
    # A full bucket of 10 writes, and at most twice the budget in one second.
    assert 4 * 10 <= len(held) <= 4 * 20
    assert {r for r in results if not isinstance(r, HeldClaim)} == {"store_budget"}


def test_claim_waits_briefly_for_the_store_budget(store):
    """Guards against refusals at a rate that batching fits into the budget."""
    rates = {StorePurpose.CLAIMS: StoreRate(10, 100)}
    clock = SystemClock()
    budget = StoreBudget(1.0, clock.monotonic_s(), rates=rates)
    while budget.try_acquire(StorePurpose.CLAIMS, Operation.WRITE, clock.monotonic_s()):
        pass
    guarded = GuardedTableService(
        store.tables, budget=budget, clock=clock, random_source=Random(1)
    )
    assert isinstance(claim(store.entry_host(guarded)), HeldClaim)


def test_claim_is_refused_at_its_deadline_and_released(store):
    """Guards against a caller blocked past its deadline, and a claim never released."""
    tables = store.tables.connect(FaultInjector(timeout_s=None))
    tables.faults.set_delay(0.3, count=1, operation=Operation.WRITE)
    service = store.entry_host(tables)
    start_s = time.monotonic()
    with pytest.raises(NotRunError) as error:
        claim(service, timeout_s=0.05)
    assert error.value.reason == "deadline"
    assert time.monotonic() - start_s < 0.25
    wait_for(store.rows)
    wait_for(lambda: not store.rows())


def test_claim_is_refused_while_the_store_is_unavailable(store):
    """Guards against a dispatch without a claim."""
    tables = store.tables.connect()
    tables.faults.set_down()
    with pytest.raises(NotRunError) as error:
        claim(store.entry_host(tables))
    assert error.value.reason == "store_unavailable"


def test_large_response_is_recorded_after_its_body_is_stored(store):
    """Guards against a recorded response whose body was never stored."""
    answer = RESPONSE._replace(body=b"x" * 40_000)
    service = store.entry_host()
    held = claim(service)
    store.objects.faults.set_down(duration_s=0.3)
    service.record(held, answer)
    time.sleep(0.1)
    assert claim(service) == PendingClaim(KEY)
    assert service.wait_until_written(5.0)
    assert claim(service) == answer
    assert all(len(row.value) < 1000 for row in store.rows())


def test_unreadable_body_leaves_the_outcome_unknown(store):
    """Guards against reporting a request as not run although it ran."""
    service = store.entry_host()
    service.record(claim(service), RESPONSE._replace(body=b"x" * 40_000))
    assert service.wait_until_written(2.0)
    store.objects.faults.set_down()
    assert claim(service) == PendingClaim(KEY)


def test_released_claim_can_be_held_again(store):
    """Guards against a refused request that can never run afterwards."""
    service = store.entry_host()
    service.release(claim(service))
    assert service.wait_until_written(2.0)
    assert not store.rows() and not store.rows(DAYS_TABLE)
    assert isinstance(claim(service), HeldClaim)


def test_stop_writes_the_backlog_and_refuses_new_claims(store):
    """Guards against a planned stop that loses records."""
    service = store.entry_host()
    held = claim(service)
    service.record(held, RESPONSE)
    assert service.stop() == 0
    store.services.remove(service)
    assert claim(store.entry_host()) == RESPONSE
    with pytest.raises(NotRunError):
        claim(service, ClaimKey("ondangwa", "rating", "key-2"))


def test_retention_removes_old_claims_with_their_bodies(store):
    """Guards against claims that are kept forever or removed too early."""
    service = store.entry_host()
    for n in range(6):
        held = claim(service, ClaimKey("ondangwa", "rating", f"key-{n}"))
        service.record(held, RESPONSE._replace(body=b"x" * 40_000))
    assert service.wait_until_written(2.0)
    settings = RetentionSettings(7, shard_digits_count=1, rows_max_count=2)
    retention = DayRetention(store.tables, store.objects, CLAIMS_DAY_TABLES, settings)
    today = SystemClock().now()
    for _ in range(40):
        assert retention.step(today + timedelta(days=7)) == 0
    removed = [retention.step(today + timedelta(days=8)) for _ in range(40)]
    assert sum(removed) == 6 and max(removed) <= 2
    assert not store.rows()
    assert store.objects._bodies == {}


@pytest.mark.filterwarnings("error::pytest.PytestUnhandledThreadExceptionWarning")
def test_unexpected_error_of_one_record_does_not_end_the_writer(store, monkeypatch):
    """Guards against an unexpected error that ends all recording of responses."""

    def fail(key, content):
        raise RuntimeError("unexpected")

    monkeypatch.setattr(store.objects, "put", fail)
    service = store.entry_host()
    large_body = b"x" * (INLINE_BODY_MAX_BYTES + 1)
    service.record(claim(service), RecordedResponse(200, {}, large_body))
    assert service.wait_until_written(2.0)
    second_key = ClaimKey("ondangwa", "rating", "key-2")
    service.record(claim(service, second_key), RESPONSE)
    assert service.wait_until_written(2.0)
    assert claim(service) == PendingClaim(KEY)
    assert claim(service, second_key) == RESPONSE
