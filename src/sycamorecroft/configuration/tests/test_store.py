import pytest

from standins.faults import FaultSwitch, Operation
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


def _content(name):
    account = AccountConfiguration(name, ("here",), 0.9, {})
    return FleetConfiguration(0, {name: account}, {}, {})


@pytest.fixture
def tables():
    return MemoryTables()


@pytest.fixture
def faults():
    return FaultSwitch(sleep=lambda _: None)


@pytest.fixture
def store(tables, faults):
    handle = tables.connect(faults)
    return ConfigurationStore(handle, ManualClock(), sleep=lambda _: None)


@pytest.fixture
def other_store(tables):
    return ConfigurationStore(tables, ManualClock())


# Guards against two operators who overwrite each other without notice.
def test_loser_of_a_race_learns_the_winner(store, other_store):
    store.publish(_content("a"), base_version=0, author="asha")
    other_store.publish(_content("b"), base_version=1, author="beatrice")
    with pytest.raises(ConfigurationConflictError) as caught:
        store.publish(_content("c"), base_version=1, author="asha")
    assert "'beatrice' published it at 2026-01-01T00:00:00+00:00" in str(caught.value)
    assert "base version 2" in str(caught.value)
    assert store.read_head() == _content("b")._replace(version=2)


# Guards against the same race when the winner commits between check and commit.
def test_race_within_the_transaction_is_a_conflict(store, other_store, monkeypatch):
    transact = store._tables.transact

    def transact_late(*args, **kwargs):
        other_store.publish(_content("b"), base_version=0, author="beatrice")
        return transact(*args, **kwargs)

    monkeypatch.setattr(store._tables, "transact", transact_late)
    with pytest.raises(ConfigurationConflictError, match="beatrice"):
        store.publish(_content("a"), base_version=0, author="asha")
    assert store.head_version() == 1


# Guards against a version published twice or reported as failed by a lost response.
@pytest.mark.parametrize("lost_count", [1, 2, 3])
def test_lost_response_is_resolved_by_reading_back(store, faults, lost_count):
    faults.lose_responses(count=lost_count)
    assert store.publish(_content("a"), base_version=0, author="asha").version == 1
    assert [item.version for item in store.history()] == [1]


# Guards against a claim that nothing was published when that isn't known.
def test_outcome_is_unknown_when_reading_back_fails(store, other_store, faults):
    faults.lose_responses(count=1)
    transact = store._tables.transact

    def lose_store_after_commit(*args, **kwargs):
        try:
            return transact(*args, **kwargs)
        finally:
            faults.set_down(operation=Operation.READ)

    store._tables.transact = lose_store_after_commit
    with pytest.raises(StoreOutcomeUnknownError):
        store.publish(_content("a"), base_version=0, author="asha")
    faults.clear()
    store._tables.transact = transact
    again = store.publish(_content("a"), base_version=0, author="asha")
    assert again.version == 1
    assert other_store.head_version() == 1


def test_nothing_is_published_while_the_store_is_down(store, other_store, faults):
    faults.set_down()
    with pytest.raises(StoreUnavailableError):
        store.publish(_content("a"), base_version=0, author="asha")
    assert other_store.head_version() == 0


# Guards against a repeated command that adds a version.
def test_repeated_publish_returns_the_same_version(store, other_store):
    first = store.publish(_content("a"), base_version=0, author="asha")
    assert store.publish(_content("a"), base_version=0, author="asha") == first
    assert store.publish(_content("a"), base_version=1, author="asha") == first
    other_store.publish(_content("b"), base_version=1, author="beatrice")
    assert store.publish(_content("a"), base_version=0, author="asha") == first
    assert store.head_version() == 2


# Guards against versions that fall: a rollback takes a new number.
def test_rollback_is_a_new_version(store):
    store.publish(_content("a"), base_version=0, author="asha")
    store.publish(_content("b"), base_version=1, author="asha")
    rollback = store.rollback(1, base_version=2, author="asha")
    assert (rollback.version, rollback.rolled_back_to) == (3, 1)
    assert store.read_head() == _content("a")._replace(version=3)
    assert [item.version for item in store.history(limit=2)] == [3, 2]


def test_unknown_versions_are_refused(store):
    with pytest.raises(ConfigurationError, match="head is version 0"):
        store.publish(_content("a"), base_version=4, author="asha")
    with pytest.raises(ConfigurationError, match="not in the store"):
        store.rollback(4, base_version=0, author="asha")


# Guards against a table that grows without limit.
def test_old_versions_are_deleted(store, monkeypatch):
    monkeypatch.setattr(store_module, "RETAINED_VERSIONS_COUNT", 2)
    for base in range(4):
        store.publish(_content(f"a{base}"), base_version=base, author="asha")
    assert [item.version for item in store.history()] == [4, 3]
