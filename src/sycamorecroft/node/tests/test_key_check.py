"""Tests of the key check of an entry host, on tables in memory."""

import threading

import pytest
from structlog.testing import capture_logs

from standins.entry_driver import (
    JOB_ID,
    KEY,
    NEW_KEY,
    OTHER_KEY,
    SERVICE,
    EntryDriver,
    make_fleet,
)
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.scheduling.rows import JobRow, decode_row, jobs_part, jobs_table
from sycamorecroft.serving.configuration_lookup import LOOKUP_INTERVAL_S

PRIVATE, PUBLIC = f"/a/{JOB_ID}", f"/open/{JOB_ID}"


@pytest.fixture
def entry():
    driver = EntryDriver()
    driver.publish(make_fleet())
    driver.poll_feed()
    return driver


def _stored_account(entry):
    row = entry.tables.row(jobs_table(SERVICE), JOB_ID, jobs_part(JOB_ID))
    return None if row is None else decode_row(row.value, JobRow).account


def test_account_of_the_key_is_stored_with_the_job(entry):
    """Guards against jobs that run for nobody or for another account."""
    assert entry.call_all(KEY, PRIVATE) == [200] * 4
    assert _stored_account(entry) == "north"


@pytest.mark.parametrize("key", [None, ""])
def test_call_without_a_key_is_refused_and_stores_nothing(entry, key):
    """Guards against private queues that serve anybody."""
    answer = entry.call("POST", PRIVATE, key)
    assert (answer.status, answer.headers["WWW-Authenticate"]) == (401, "ApiKey")
    assert entry.call_all(key, PRIVATE) == [401] * 4
    assert _stored_account(entry) is None
    assert entry.recorder.counts[0] == ("refusals", "key_missing")


@pytest.mark.parametrize("path", [PRIVATE, PUBLIC])
@pytest.mark.parametrize("key", ["nobody's", KEY + "x", KEY[:-1], f"{KEY},{KEY}", "é"])
def test_call_with_an_unknown_key_is_refused_and_stores_nothing(entry, path, key):
    """Guards against a withdrawn key that still gets what is public."""
    assert entry.call_all(key, path) == [401] * 4
    assert _stored_account(entry) is None
    assert ("refusals", "key_unknown") in entry.recorder.counts


@pytest.mark.parametrize("key", [None, ""])
def test_public_queue_serves_calls_without_a_key(entry, key):
    """Guards against public queues that ask for a key."""
    assert entry.call_all(key, PUBLIC) == [200] * 4
    assert _stored_account(entry) == ""


def test_public_queue_keeps_the_account_of_a_call_with_a_key(entry):
    """Guards against jobs on public queues that any other caller may cancel."""
    assert entry.call("POST", PUBLIC, KEY).status == 200
    assert _stored_account(entry) == "north"
    assert entry.call("DELETE", PUBLIC).status == 403


def test_key_with_characters_beyond_ascii_is_found(entry):
    """Guards against a configured key that never matches for its encoding."""
    entry.publish(make_fleet(2, keys=("clé",)))
    entry.poll_feed()
    assert entry.call("POST", PRIVATE, "clé").status == 200


@pytest.mark.parametrize("key", [None, "", "any"])
def test_configuration_without_accounts_needs_no_key_and_no_further_call(key):
    """Guards against sites without client accounts that ask for keys or pay for the
    check with calls to the store.
    """
    entry = EntryDriver()
    entry.publish(make_fleet(tenants=None))
    entry.poll_feed()
    entry.tables.reads.clear()
    assert entry.call_all(key, PRIVATE) == [200] * 4
    assert entry.tables.reads == [
        "progress.rating",
        "jobs.rating",
        "pending",
        "jobs.rating",
    ]
    row = entry.tables.row(jobs_table(SERVICE), JOB_ID, jobs_part(JOB_ID))
    assert row.value.endswith(b"]") and b'""]' not in row.value[-4:]


def test_configuration_with_an_empty_list_of_accounts_serves_nobody(entry):
    """Guards against a site that opens when its last account is removed."""
    entry.publish(make_fleet(2, tenants=[]))
    entry.poll_feed()
    assert entry.call_all(KEY, PRIVATE) == [401] * 4


def test_new_key_is_known_before_the_feed_brings_it(entry):
    """Guards against a new key that is refused by the configuration before it."""
    entry.publish(make_fleet(2, keys=(KEY, NEW_KEY)))
    assert entry.call("POST", PRIVATE, NEW_KEY).status == 200
    assert entry.configuration.version() == 2
    assert ("configuration_lookups", "read") in entry.recorder.counts


def test_known_keys_read_no_configuration(entry):
    """Guards against a read of the configuration for each call."""
    entry.tables.reads.clear()
    for _ in range(5):
        assert entry.call("GET", "/a/", KEY).status == 200
    assert entry.tables.reads == ["pending"] * 5


def test_unknown_keys_cost_one_read_in_the_interval(entry):
    """Guards against a flood of unknown keys that reaches the store."""
    entry.tables.reads.clear()
    for number in range(30):
        assert entry.call("POST", PRIVATE, f"k{number}").status == 401
    assert entry.tables.reads == ["op"]
    entry.clock.skipped_s += LOOKUP_INTERVAL_S
    assert entry.call("POST", PRIVATE, "k").status == 401
    assert entry.tables.reads == ["op"] * 2


def test_route_that_becomes_public_during_the_lookup_counts(entry):
    """Guards against a call that is judged by two versions of the configuration."""
    fleet = make_fleet(2, keys=(KEY, NEW_KEY))
    fleet["routes"] = fleet["routes"][1:]
    entry.publish(fleet)
    assert entry.call("POST", PRIVATE, NEW_KEY).status == 404
    assert _stored_account(entry) is None


def test_withdrawn_key_is_refused_on_the_next_call(entry):
    """Guards against clients that go on with a key that was withdrawn."""
    assert entry.call("POST", PRIVATE, KEY).status == 200
    entry.publish(make_fleet(2, keys=(NEW_KEY,)))
    entry.poll_feed()
    assert entry.call_all(KEY, PRIVATE) == [401] * 4
    assert entry.call("GET", PRIVATE, NEW_KEY).status == 200


@pytest.mark.parametrize("is_restarted", [False, True])
def test_withdrawn_key_never_comes_back(entry, is_restarted):
    """Guards against an old row, read late by another thread or after a restart, that
    brings a withdrawn key back.
    """
    former = entry.tables.row("op", "config")
    entry.publish(make_fleet(2, keys=(NEW_KEY,)))
    if is_restarted:
        entry = EntryDriver(entry.tables)
    entry.poll_feed()
    entry.configuration.apply_rows((former,))
    assert entry.call("POST", PRIVATE, KEY).status == 401
    assert entry.configuration.version() == 2


def test_former_version_published_again_does_not_revert(entry):
    """Guards against a withdrawn key that a late write of its version brings back."""
    entry.publish(make_fleet(3, keys=(NEW_KEY,)))
    entry.poll_feed()
    entry.publish(make_fleet(2))
    assert entry.call("POST", PRIVATE, KEY).status == 401


def test_process_without_a_configuration_serves_no_call(entry):
    """Guards against a restarted process that serves before it knows the keys."""
    started = EntryDriver(entry.tables)
    entry.tables.is_unavailable = True
    started.poll_feed()
    for key in (None, KEY, "nobody's"):
        assert started.call_all(key, PRIVATE) == [503] * 4
        assert started.call("GET", PUBLIC, key).status == 503


def test_unknown_key_is_not_refused_while_the_store_is_unavailable(entry):
    """Guards against 401 for a key that may be new, since the process can't know."""
    entry.tables.is_unavailable = True
    entry.contact_age_s = 3.0
    for _ in range(3):
        answer = entry.call("POST", PRIVATE, NEW_KEY)
        assert (answer.status, answer.headers["Retry-After"]) == (503, "3")
    assert entry.recorder.counts.count(("refusals", "key_unverified")) == 3
    assert entry.tables.reads.count("op") == 2
    entry.tables.is_unavailable = False
    entry.publish(make_fleet(2, keys=(KEY, NEW_KEY)))
    entry.clock.skipped_s += LOOKUP_INTERVAL_S
    entry.contact_age_s = 0.0
    assert entry.call("POST", PRIVATE, NEW_KEY).status == 200


@pytest.mark.parametrize("contact_age_s", [0.0, 5.0])
def test_process_cut_off_from_the_store_answers_no_call_positively(
    entry, contact_age_s
):
    """Guards against a withdrawn key that still gets answers from a process that
    hasn't heard of the withdrawal.
    """
    assert entry.call("POST", PRIVATE, KEY).status == 200
    entry.publish(make_fleet(2, keys=(NEW_KEY,)))
    entry.tables.is_unavailable = True
    entry.contact_age_s = contact_age_s
    entry.poll_feed()
    assert entry.configuration.version() == 1
    statuses = entry.call_all(KEY, PRIVATE)
    assert set(statuses) <= {503, 504}
    entry.tables.is_unavailable = False
    entry.poll_feed()
    assert entry.call_all(KEY, PRIVATE) == [401] * 4


@pytest.mark.parametrize(
    "row",
    [
        {"version": 2},
        make_fleet(2, tenants=[{"name": "north", "keys": [KEY], "weight": -1}]),
        make_fleet(2, tenants=[{"name": n, "keys": [NEW_KEY]} for n in "ab"]),
    ],
)
def test_malformed_configuration_leaves_the_former_one_in_force(entry, row):
    """Guards against half of a version in force, and keys that end with it."""
    entry.publish(row)
    with capture_logs() as logs:
        entry.poll_feed()
        entry.poll_feed()
        assert entry.call("POST", PRIVATE, NEW_KEY).status == 401
    assert entry.call("POST", PRIVATE, KEY).status == 200
    events = [line["event"] for line in logs]
    assert events.count("configuration_malformed") == 1
    started = EntryDriver(entry.tables)
    started.poll_feed()
    assert started.call("POST", PRIVATE, KEY).status == 503


def test_missing_configuration_row_leaves_the_former_one_in_force(entry):
    """Guards against keys that end with a row that was removed by mistake."""
    entry.tables.remove("op", "config")
    assert entry.call("POST", PRIVATE, "nobody's").status == 401
    assert entry.call("POST", PRIVATE, KEY).status == 200


def test_key_withdrawn_between_check_and_insert_ends_with_this_call(entry):
    """Guards against a withdrawal that a call under way undoes for later calls."""
    transact = entry.tables.transact

    def withdraw_and_transact(checks, puts, *, purpose):
        entry.tables.transact = transact
        entry.publish(make_fleet(2, keys=()))
        entry.poll_feed()
        return transact(checks, puts, purpose=purpose)

    entry.tables.transact = withdraw_and_transact
    assert entry.call("POST", PRIVATE, KEY).status == 200
    assert entry.call_all(KEY, PRIVATE) == [401] * 4


def test_submission_is_not_repeated_with_a_withdrawn_key(entry):
    """Guards against a caller with a long deadline whose job is stored long after its
    key was withdrawn.
    """
    transact = entry.tables.transact

    def refuse(checks, puts, *, purpose):
        entry.tables.transact = transact
        entry.publish(make_fleet(2, keys=()))
        entry.poll_feed()
        raise StoreUnavailableError("refused: 429")

    entry.tables.transact = refuse
    answer = entry.call("POST", PRIVATE, KEY, timeout_ms=3000)
    assert (answer.status, _stored_account(entry)) == (401, None)


def test_withdrawal_does_not_hide_that_a_submission_may_be_stored(entry):
    """Guards against 401 for a job that an attempt without an answer stores later."""
    entry.tables.faulty_table = jobs_table(SERVICE)
    entry.tables.delayed_count = 1
    transact = entry.tables.transact

    def withdraw_and_transact(checks, puts, *, purpose):
        entry.tables.transact = transact
        entry.publish(make_fleet(2, keys=()))
        entry.poll_feed()
        return transact(checks, puts, purpose=purpose)

    entry.tables.transact = withdraw_and_transact
    assert entry.call("POST", PRIVATE, KEY, timeout_ms=3000).status == 504
    assert entry.tables.apply_delayed() == 1


def test_configuration_with_accounts_for_the_first_time_needs_keys_at_once(entry):
    """Guards against a site that stays open after it has got accounts."""
    entry.publish(make_fleet(2, tenants=None))
    entry.poll_feed()
    assert entry.call("POST", PRIVATE).status == 200
    entry.publish(make_fleet(3))
    entry.poll_feed()
    assert entry.call("GET", PRIVATE).status == 401
    assert entry.call("GET", PRIVATE, OTHER_KEY).status == 200


def test_concurrent_calls_with_new_keys_are_all_served(entry):
    """Guards against new keys that are refused since another call reads for them."""
    entry.publish(make_fleet(2, keys=(KEY, NEW_KEY)))
    is_released = threading.Event()
    read = entry.tables.read

    def held_read(table, key, *, purpose):
        if table == "op":
            assert is_released.wait(5.0)
        return read(table, key, purpose=purpose)

    entry.tables.read = held_read
    statuses = []

    def call(number):
        answer = entry.call("POST", f"/a/{number:016x}", NEW_KEY, timeout_ms=5000)
        statuses.append(answer.status)

    threads = [threading.Thread(target=call, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    threading.Event().wait(0.1)
    is_released.set()
    for thread in threads:
        thread.join(5.0)
    assert statuses == [200] * 6
    assert entry.tables.reads.count("op") == 2


def test_refusals_are_logged_once_a_second_without_keys(entry):
    """Guards against a flood of log lines, and against keys in them."""
    with capture_logs() as logs:
        for _ in range(5):
            entry.call("POST", PRIVATE, "leaked-key")
            entry.call("POST", PRIVATE)
        entry.clock.skipped_s += 1.0
        entry.call("POST", PRIVATE, "leaked-key")
    lines = [line for line in logs if line["event"] == "call_refused"]
    assert [line["reason"] for line in lines] == [
        "key_unknown",
        "key_missing",
        "key_unknown",
    ]
    assert (lines[2]["suppressed_count"], lines[2]["version"]) == (4, 1)
    assert "leaked-key" not in repr(logs)
    assert KEY not in repr(logs)
