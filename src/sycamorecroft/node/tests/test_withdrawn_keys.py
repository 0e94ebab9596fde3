"""Tests of keys that were withdrawn while a process had an old configuration.

The process was paused, or its feed hangs, and the store answers its other calls.
"""

import threading
import time

import pytest

from standins.entry_driver import (
    JOB_ID,
    KEY,
    NEW_KEY,
    SERVICE,
    EntryDriver,
    make_fleet,
)
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.node import configuration_cache
from sycamorecroft.scheduling.rows import jobs_part, jobs_table
from sycamorecroft.serving.configuration_lookup import (
    CONFIGURATION_BOUND_S,
    LOOKUP_INTERVAL_S,
)

STALE_S = CONFIGURATION_BOUND_S + 0.1
PATH = f"/a/{JOB_ID}"
METHODS = [("POST", PATH), ("GET", PATH), ("GET", "/a/"), ("DELETE", PATH)]
TIMEOUT_MS = 60_000


@pytest.fixture
def entry():
    driver = EntryDriver()
    driver.publish(make_fleet())
    driver.poll_feed()
    return driver


def _withdraw(entry, **changes):
    entry.publish(make_fleet(2, keys=(NEW_KEY,), **changes))


def _pause(entry):
    entry.clock.skipped_s += STALE_S


def _fail_reads_of_the_configuration(entry):
    read = entry.tables.read

    def fail(table, key, *, purpose):
        if table == "op":
            raise StoreUnavailableError("no answer")
        return read(table, key, purpose=purpose)

    entry.tables.read = fail


def _call_during_the_next(entry, name, action):
    """Replaces a method of the tables, so that ``action`` precedes its next call."""
    method = getattr(entry.tables, name)

    def act_and_call(*arguments, **options):
        setattr(entry.tables, name, method)
        action()
        return method(*arguments, **options)

    setattr(entry.tables, name, act_and_call)


@pytest.mark.parametrize(("method", "path"), METHODS)
def test_withdrawn_key_gets_nothing_after_a_pause(entry, method, path):
    """Guards against a paused process that serves withdrawn keys when it goes on, and
    until its feed has told it of them.
    """
    assert entry.call("POST", PATH, KEY).status == 200
    _withdraw(entry)
    _pause(entry)
    version = entry.tables.version
    assert entry.call(method, path, KEY).status == 401
    assert entry.tables.version == version
    assert entry.call(method, path, NEW_KEY).status == 200


@pytest.mark.parametrize(("method", "path"), METHODS)
def test_key_that_can_not_be_verified_gets_nothing(entry, method, path):
    """Guards against a withdrawn key that is served since the configuration can't be
    read, while the store answers other calls.
    """
    assert entry.call("POST", PATH, KEY).status == 200
    _withdraw(entry)
    _pause(entry)
    _fail_reads_of_the_configuration(entry)
    version = entry.tables.version
    answer = entry.call(method, path, KEY)
    assert (answer.status, answer.headers["Retry-After"]) == (503, "1")
    assert entry.tables.version == version
    assert ("refusals", "key_unverified") in entry.recorder.counts


def test_calls_are_refused_at_once_while_the_store_is_out_of_contact(entry):
    """Guards against calls that wait for a read of the configuration during an outage
    in which they can't be served anyway.
    """
    _pause(entry)
    entry.contact_age_s = 4.0
    entry.tables.reads.clear()
    answer = entry.call("GET", PATH, KEY)
    assert (answer.status, answer.headers["Retry-After"]) == (503, "4")
    assert entry.tables.reads == []


@pytest.mark.parametrize("key", [KEY, None])
def test_old_configuration_is_read_once_for_all_calls(entry, key):
    """Guards against a read for each call with a good key, and for calls without a key
    on a queue that isn't public.
    """
    _pause(entry)
    entry.tables.reads.clear()
    for _ in range(5):
        assert entry.call("GET", "/open/", key).status == 200
    assert entry.call("GET", "/a/").status == 401
    assert entry.tables.reads.count("op") == 1


def test_old_configuration_without_accounts_is_not_read(entry):
    """Guards against sites without client accounts that pay for the check."""
    entry.publish(make_fleet(2, tenants=None))
    entry.poll_feed()
    _pause(entry)
    entry.tables.reads.clear()
    assert entry.call("GET", "/a/").status == 200
    assert entry.tables.reads == ["pending"]


@pytest.mark.parametrize("path", [PATH, "/a/"])
def test_key_withdrawn_during_a_slow_read_gets_no_answer(entry, path):
    """Guards against what a withdrawn key reads when the store takes seconds."""
    assert entry.call("POST", PATH, KEY).status == 200

    def withdraw():
        _withdraw(entry)
        _pause(entry)

    _call_during_the_next(entry, "scan_part", withdraw)
    answer = entry.call("GET", path, KEY)
    assert (answer.status, set(answer.body)) == (401, {"reason"})


def test_key_withdrawn_while_a_cancellation_reads_the_job_cancels_nothing(entry):
    """Guards against a cancellation whose read of the job takes seconds."""
    assert entry.call("POST", PATH, KEY).status == 200

    def withdraw():
        _withdraw(entry)
        _pause(entry)

    _call_during_the_next(entry, "scan_part", withdraw)
    assert entry.call("DELETE", PATH, KEY, timeout_ms=TIMEOUT_MS).status == 401
    assert entry.call("GET", PATH, NEW_KEY).body == {"state": "queued"}


def test_submission_is_not_repeated_with_a_key_withdrawn_during_an_attempt(entry):
    """Guards against a submission that is stored seconds after its key was withdrawn,
    since the process hadn't heard of it when it repeated an attempt.
    """

    def withdraw_and_refuse(checks, puts, *, purpose):
        entry.tables.transact = transact
        _withdraw(entry)
        _pause(entry)
        raise StoreUnavailableError("refused: 429")

    transact = entry.tables.transact
    entry.tables.transact = withdraw_and_refuse
    assert entry.call("POST", PATH, KEY, timeout_ms=TIMEOUT_MS).status == 401
    assert not _is_stored(entry)


def test_submission_that_waits_behind_a_slow_one_is_not_stored(entry):
    """Guards against a submission that is sent seconds after its key was checked, since
    the store was slow to store the one before it in the same part.
    """
    is_sent, is_released = threading.Event(), threading.Event()
    statuses = {}

    def hold(checks, puts, *, purpose):
        entry.tables.transact = transact
        is_sent.set()
        assert is_released.wait(5.0)
        return transact(checks, puts, purpose=purpose)

    def submit(job_id):
        answer = entry.call("POST", f"/a/{job_id}", KEY, timeout_ms=TIMEOUT_MS)
        statuses[job_id] = answer.status

    transact = entry.tables.transact
    entry.tables.transact = hold
    other_id = _other_job_of_the_same_part()
    threads = [threading.Thread(target=submit, args=(other_id,))]
    threads[0].start()
    assert is_sent.wait(5.0)
    threads.append(threading.Thread(target=submit, args=(JOB_ID,)))
    threads[1].start()
    time.sleep(0.1)
    _withdraw(entry)
    _pause(entry)
    is_released.set()
    for thread in threads:
        thread.join(5.0)
    assert statuses == {other_id: 200, JOB_ID: 401}
    assert not _is_stored(entry)


def test_submission_is_not_repeated_on_a_route_that_was_removed_with_its_key(entry):
    """Guards against a version that removes a route and withdraws a key, of which the
    former hides the latter.
    """
    routes = make_fleet()["routes"][1:]

    def withdraw_and_transact(checks, puts, *, purpose):
        entry.tables.transact = transact
        _withdraw(entry, routes=routes)
        entry.poll_feed()
        raise StoreUnavailableError("refused: 429")

    transact = entry.tables.transact
    entry.tables.transact = withdraw_and_transact
    assert entry.call("POST", PATH, KEY, timeout_ms=TIMEOUT_MS).status == 404
    assert not _is_stored(entry)


def test_submission_is_not_repeated_with_a_key_that_another_account_got(entry):
    """Guards against a job that is stored for an account that lost the key."""
    accounts = [{"name": "south", "keys": [KEY]}]

    def move_and_refuse(checks, puts, *, purpose):
        entry.tables.transact = transact
        entry.publish(make_fleet(2, tenants=accounts))
        entry.poll_feed()
        raise StoreUnavailableError("refused: 429")

    transact = entry.tables.transact
    entry.tables.transact = move_and_refuse
    assert entry.call("POST", PATH, KEY, timeout_ms=TIMEOUT_MS).status == 401
    assert not _is_stored(entry)


def test_withdrawal_does_not_hide_that_a_job_may_be_cancelled(entry):
    """Guards against 401 for a cancellation that takes effect later."""
    assert entry.call("POST", PATH, KEY).status == 200
    entry.tables.faulty_table = jobs_table(SERVICE)
    entry.tables.delayed_count = 1

    def withdraw_and_transact(checks, puts, *, purpose):
        entry.tables.transact = transact
        _withdraw(entry)
        _pause(entry)
        return transact(checks, puts, purpose=purpose)

    transact = entry.tables.transact
    entry.tables.transact = withdraw_and_transact
    assert entry.call("DELETE", PATH, KEY, timeout_ms=TIMEOUT_MS).status == 504
    assert entry.tables.apply_delayed() == 1


def test_submission_that_may_be_stored_is_repeated_once_the_store_is_back(entry):
    """Guards against an unknown outcome for a good key, since the configuration was too
    old while the store was away.
    """
    entry.tables.faulty_table = jobs_table(SERVICE)
    entry.tables.delayed_count = 1
    read = entry.tables.read
    transact = entry.tables.transact
    failures = []

    def fail_twice(table, key, *, purpose):
        if table != "op":
            return read(table, key, purpose=purpose)
        failures.append(key)
        entry.clock.skipped_s += LOOKUP_INTERVAL_S
        if len(failures) == 2:
            entry.tables.read = read
        raise StoreUnavailableError("no answer")

    def pause_and_transact(checks, puts, *, purpose):
        entry.tables.transact = transact
        entry.tables.read = fail_twice
        _pause(entry)
        return transact(checks, puts, purpose=purpose)

    entry.tables.transact = pause_and_transact
    assert entry.call("POST", PATH, KEY, timeout_ms=TIMEOUT_MS).status == 200
    assert len(failures) == 2


def test_version_whose_decoding_fails_for_want_of_memory_is_decoded_again(
    entry, monkeypatch
):
    """Guards against a withdrawal that never comes into force, since the process was
    short of memory when it read it.
    """
    decode_fleet = configuration_cache.decode_fleet

    def fail(value):
        monkeypatch.setattr(configuration_cache, "decode_fleet", decode_fleet)
        raise MemoryError

    monkeypatch.setattr(configuration_cache, "decode_fleet", fail)
    _withdraw(entry)
    with pytest.raises(MemoryError):
        entry.poll_feed()
    entry.poll_feed()
    assert entry.call("GET", PATH, KEY).status == 401


def _other_job_of_the_same_part():
    ids = (f"{number:016x}" for number in range(100_000))
    part = jobs_part(JOB_ID)
    return next(i for i in ids if jobs_part(i) == part and i != JOB_ID)


def _is_stored(entry):
    part = jobs_part(JOB_ID)
    return entry.tables.row(jobs_table(SERVICE), JOB_ID, part) is not None
