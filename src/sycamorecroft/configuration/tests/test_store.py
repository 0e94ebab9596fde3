import pytest

from standins.faults import FaultInjector, Operation
from standins.memory_tables import MemoryTables
from sycamorecroft.clock import ManualClock
from sycamorecroft.configuration import store as store_module
from sycamorecroft.configuration.fleet import AccountConfiguration, FleetConfiguration
from sycamorecroft.configuration.store import ConfigurationStore
from sycamorecroft.errors import (
    ConfigurationConflictError,
    ConfigurationError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)


def _configuration(name):
    account = AccountConfiguration(name, ("here",), 0.9, {})
    return FleetConfiguration(0, {name: account}, {}, {})


@pytest.fixture
def tables():
    return MemoryTables()


@pytest.fixture
def faults():
    return FaultInjector(sleep=lambda _: None)


@pytest.fixture
def store(tables, faults):
    connection = tables.connect(faults)
    return ConfigurationStore(connection, ManualClock(), sleep=lambda _: None)


@pytest.fixture
def other_store(tables):
    return ConfigurationStore(tables, ManualClock())


def test_conflict_error_names_the_winner(store, other_store):
    """Guards against two operators who silently overwrite each other's change."""
    store.publish(_configuration("a"), base_version=0, author="asha")
    other_store.publish(_configuration("b"), base_version=1, author="beatrice")
    with pytest.raises(ConfigurationConflictError) as error_info:
        store.publish(_configuration("c"), base_version=1, author="asha")
    assert "'beatrice' published it at 2026-01-01T00:00:00+00:00" in str(
        error_info.value
    )
    assert "base version 2" in str(error_info.value)
    assert store.read_head() == _configuration("b")._replace(version=2)


def test_concurrent_commit_within_the_transaction_is_a_conflict(
    store, other_store, monkeypatch
):
    """Guards against a lost update if the winner commits after the head was read."""
    transact = store._tables.transact

    def transact_after_other(*args, **kwargs):
        other_store.publish(_configuration("b"), base_version=0, author="beatrice")
        return transact(*args, **kwargs)

    monkeypatch.setattr(store._tables, "transact", transact_after_other)
    with pytest.raises(ConfigurationConflictError, match="beatrice"):
        store.publish(_configuration("a"), base_version=0, author="asha")
    assert store.head_version() == 1


@pytest.mark.parametrize("lost_count", [1, 2, 3])
def test_lost_response_is_resolved_by_reading_back(store, faults, lost_count):
    """Guards against a version that is published twice, or reported as failed, after a
    lost response.
    """
    faults.lose_responses(count=lost_count)
    assert (
        store.publish(_configuration("a"), base_version=0, author="asha").version == 1
    )
    assert [item.version for item in store.history()] == [1]


def test_outcome_is_unknown_when_reading_back_fails(store, other_store, faults):
    """Guards against reporting an unknown outcome as not published."""
    faults.lose_responses(count=1)
    transact = store._tables.transact

    def fail_reads_after_commit(*args, **kwargs):
        try:
            return transact(*args, **kwargs)
        finally:
            faults.set_down(operation=Operation.READ)

    store._tables.transact = fail_reads_after_commit
    with pytest.raises(StoreOutcomeUnknownError):
        store.publish(_configuration("a"), base_version=0, author="asha")
    faults.clear()
    store._tables.transact = transact
    retried = store.publish(_configuration("a"), base_version=0, author="asha")
    assert retried.version == 1
    assert other_store.head_version() == 1


def test_nothing_is_published_during_a_store_outage(store, other_store, faults):
    """Guards against a publish that is reported wrongly during an outage."""
    faults.set_down()
    with pytest.raises(StoreUnavailableError):
        store.publish(_configuration("a"), base_version=0, author="asha")
    assert other_store.head_version() == 0


def test_repeated_publish_returns_the_same_version(store, other_store):
    """Guards against a retried command that adds a second version."""
    first = store.publish(_configuration("a"), base_version=0, author="asha")
    assert store.publish(_configuration("a"), base_version=0, author="asha") == first
    assert store.publish(_configuration("a"), base_version=1, author="asha") == first
    other_store.publish(_configuration("b"), base_version=1, author="beatrice")
    assert store.publish(_configuration("a"), base_version=0, author="asha") == first
    assert store.head_version() == 2


def test_rollback_is_a_new_version(store):
    """Guards against version numbers that decrease after a rollback."""
    store.publish(_configuration("a"), base_version=0, author="asha")
    store.publish(_configuration("b"), base_version=1, author="asha")
    rollback = store.rollback(1, base_version=2, author="asha")
    assert (rollback.version, rollback.rolled_back_to) == (3, 1)
    assert store.read_head() == _configuration("a")._replace(version=3)
    assert [item.version for item in store.history(limit=2)] == [3, 2]


def test_poll_of_an_unchanged_head_costs_one_read(store, tables):
    """Guards against polls of an unchanged head that exhaust the store budget."""
    store.publish(_configuration("a"), base_version=0, author="asha")
    known = store.read_head()
    before = sum(tables.call_counts().values())
    assert store.read_head(known) is known
    assert sum(tables.call_counts().values()) == before + 1


def test_unknown_versions_are_rejected(store):
    """Guards against a publish on, or rollback to, a version that does not exist."""
    with pytest.raises(ConfigurationError, match="head is version 0"):
        store.publish(_configuration("a"), base_version=4, author="asha")
    with pytest.raises(ConfigurationError, match="not in the store"):
        store.rollback(4, base_version=0, author="asha")


def test_old_versions_are_deleted(store, monkeypatch):
    """Guards against unbounded growth of the table."""
    monkeypatch.setattr(store_module, "RETAINED_VERSIONS_COUNT", 2)
    for base in range(4):
        store.publish(_configuration(f"a{base}"), base_version=base, author="asha")
    assert [item.version for item in store.history()] == [4, 3]
