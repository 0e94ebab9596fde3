"""Tests of the ledger, one for each event that the protocol must survive."""

import pytest

from standins.quota_site import STEP_S, QuotaSite, make_accounts, make_demand
from sycamorecroft.quotas.rows import QuotaRow
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.rows import decode_row

LIMIT = 16


@pytest.fixture
def site():
    return QuotaSite(("s1", "s2"), make_accounts(north=LIMIT))


def _flood(site, *services, amount=1):
    for service in services:
        site.owners[service].waiting["north"] = [amount] * 40


def _stored_grant(site, service):
    row = decode_row(site.store.rows["north"].value, QuotaRow)
    return row.entries[service].grant.cpu_millicores


def test_both_services_flood(site):
    """Guards against an overrun, and against an unfair division, without faults."""
    _flood(site, "s1", "s2")
    for _ in range(8):
        site.run_steps(1)
        assert site.used("north") >= LIMIT // 2
        site.end_runs("s1" if site.now_s % 0.5 else "s2")
        _flood(site, "s1", "s2")
    assert abs(_stored_grant(site, "s1") - _stored_grant(site, "s2")) <= 2


def test_idle_service_keeps_its_grant_until_another_needs_it(site):
    """Guards against writes in calm periods, and against grants that stay unused."""
    _flood(site, "s1")
    site.run_steps(3)
    site.owners["s1"].waiting.clear()
    site.end_runs()
    writes_count = site.store.writes_count
    site.run_steps(20)
    assert site.store.writes_count == writes_count
    _flood(site, "s2")
    site.run_steps(4)
    assert site.used("north") >= LIMIT // 2


def test_varying_need_within_the_grant_writes_nothing(site):
    """Guards against a write for each change of need that changes no start."""
    owner = site.owners["s1"]
    owner.waiting["north"] = [1, 1]
    site.run_steps(2)
    writes_count = site.store.writes_count
    for count in (1, 3, 2, 4):
        site.end_runs()
        owner.waiting["north"] = [1] * count
        site.run_steps(1)
    assert site.store.writes_count == writes_count


def test_killed_owner_passes_its_grant_on(site):
    """Guards against grants that are lost with their owner, and runs left uncounted."""
    _flood(site, "s1", "s2")
    site.run_steps(5)
    site.take_over("s1")
    assert not site.owners["s1"].ledger.allows("north", make_demand(1))
    _flood(site, "s1")
    site.run_steps(5)
    assert site.used("north") == LIMIT


def test_former_owner_that_was_paused_starts_nothing(site):
    """Guards against starts and writes of an owner paused past its lease."""
    _flood(site, "s1")
    former = site.owners["s1"]
    former.step()
    site.end_runs()
    former.learn_ends()
    site.take_over("s1").send()
    former.read()
    assert former.ledger.is_superseded
    assert not former.decide("north", 1)
    assert former.ledger.next_write(former.needs(), Resources(99, 99), 9.0) is None


def test_former_owner_still_decides_starts(site):
    """Guards against starts by both owners while the former hasn't been told."""
    _flood(site, "s1")
    site.run_steps(2)
    site.end_runs()
    former = site.owners["s1"]
    former.learn_ends()
    former.waiting["north"] = [1] * 40
    former.decide_waiting()
    owner = site.take_over("s1")
    _flood(site, "s1", "s2")
    former.commit()
    site.run_steps(5)
    assert owner.known
    assert site.used("north") == LIMIT


def test_new_owner_waits_for_its_rewritten_entry(site):
    """Guards against a lower grant of a former owner that is stored after a takeover.

    The new owner would start tasks by a grant that another service gets meanwhile.
    """
    _flood(site, "s1")
    site.run_steps(4)
    site.end_runs()
    former, other = site.owners["s1"], site.owners["s2"]
    former.learn_ends()
    former.waiting.clear()
    _flood(site, "s2")
    other.step()
    site.now_s += STEP_S
    former.read()
    former.send("late")
    owner = site.take_over("s1")
    _flood(site, "s1")
    owner.decide_waiting()
    assert not owner.decided
    site.store.apply_late()
    site.run_steps(5)
    assert site.used("north") == LIMIT


def test_cut_off_owner_keeps_its_grant(site):
    """Guards against a grant that others take from an owner without the store."""
    _flood(site, "s1", "s2")
    site.run_steps(5)
    site.owners["s1"].is_connected = False
    site.run_steps(20)
    site.owners["s1"].is_connected = True
    site.run_steps(5)
    assert site.used("north") == LIMIT


@pytest.mark.parametrize("answer", ["lost", "late"])
def test_write_without_an_answer_is_repeated_unchanged(site, answer):
    """Guards against grants used twice if an answer is lost or a write applied late."""
    owner = site.owners["s1"]
    _flood(site, "s1", "s2")
    owner.send(answer)
    assert owner.ledger.next_write(owner.needs(), Resources(99, 99), 9.0) is None
    site.owners["s2"].step()
    site.store.apply_late()
    site.run_steps(6)
    assert site.used("north") == LIMIT


def test_lower_grant_in_flight_counts_already(site):
    """Guards against starts by a grant that a write in flight gives up."""
    _flood(site, "s1")
    site.run_steps(4)
    site.end_runs()
    former = site.owners["s1"]
    former.learn_ends()
    former.waiting.clear()
    _flood(site, "s2")
    site.owners["s2"].step()
    site.now_s += STEP_S
    former.read()
    former.send("lost")
    site.owners["s2"].step()
    _flood(site, "s1")
    former.decide_waiting()
    former.commit()
    assert site.used("north") <= LIMIT


def test_runs_of_a_silent_worker_count(site):
    """Guards against starts in place of runs whose end isn't known."""
    _flood(site, "s1")
    site.run_steps(4)
    owner = site.owners["s1"]
    site.end_runs()
    owner.decide_waiting()
    assert not owner.decided


def test_restarted_worker_frees_its_runs_once_known(site):
    """Guards against a grant held for ever by runs that a restart has ended."""
    _flood(site, "s1")
    site.run_steps(4)
    site.end_runs()
    site.run_steps(1)
    assert site.used("north") == LIMIT


def test_start_order_that_arrives_late_is_counted_from_its_decision(site):
    """Guards against another start before the order for the first one has arrived."""
    owner = site.owners["s1"]
    _flood(site, "s1")
    owner.send()
    owner.decide_waiting()
    decided_count = len(owner.decided)
    owner.decide_waiting()
    assert decided_count == len(owner.decided) == LIMIT


def test_limit_is_lowered_raised_and_lowered_again(site):
    """Guards against starts above the limit, and against entries that stay too low."""
    _flood(site, "s1", "s2")
    site.run_steps(4)
    for limit in (4, 32, 8):
        site.configure(north=limit)
        site.run_steps(1)
        while site.used("north") > limit:
            assert not any(o.decided for o in site.owners.values())
            site.end_runs("s1" if site.now_s % 0.5 else "s2")
            site.run_steps(1)
        _flood(site, "s1", "s2")
        site.run_steps(4)
        assert site.used("north") == limit


@pytest.mark.parametrize("is_skipped", [False, True])
def test_changed_limit_waits_for_a_row_that_shows_it(site, is_skipped):
    """Guards against starts by a row read before another owner raised its grant.

    The limit was higher meanwhile, in a version that the owner may have skipped.
    """
    first, second = site.owners["s1"], site.owners["s2"]
    second.waiting["north"] = [1]
    site.run_steps(2)
    site.end_runs()
    second.learn_ends()
    site.configure(north=64)
    _flood(site, "s1", amount=2)
    for _ in range(2):
        site.now_s += STEP_S
        first.step()
    if not is_skipped:
        second.apply_configuration()
    site.configure(north=LIMIT)
    first.apply_configuration()
    second.apply_configuration()
    assert not second.decide("north", 1)
    assert site.used("north") > LIMIT


def test_owner_with_an_older_configuration_than_the_row_starts_nothing(site):
    """Guards against starts by a limit that another owner knows to be lowered."""
    first, second = site.owners["s1"], site.owners["s2"]
    for owner in (first, second):
        owner.waiting["north"] = [1]
    site.run_steps(2)
    assert second.ledger.allows("north", make_demand(1))
    site.configure(north=LIMIT // 2)
    site.now_s += STEP_S
    first.step()
    second.read()
    assert not second.ledger.allows("north", make_demand(1))
    second.apply_configuration()
    assert second.ledger.allows("north", make_demand(1))


def test_grant_counts_only_with_bounded_entries(site):
    """Guards against starts while another service may still run without limit."""
    site.configure(north=0)
    _flood(site, "s1", "s2")
    site.run_steps(2)
    site.configure(north=LIMIT)
    owner = site.owners["s1"]
    site.end_runs("s1")
    for _ in range(3):
        site.now_s += STEP_S
        owner.step()
    assert not owner.known


def test_account_is_removed_and_comes_back(site):
    """Guards against starts before each service has bounded its entry again."""
    _flood(site, "s1", "s2")
    site.run_steps(2)
    site.configure()
    _flood(site, "s1", "s2")
    site.run_steps(3)
    assert site.used("north") >= 80
    site.configure(north=LIMIT)
    _flood(site, "s1", "s2")
    site.owners["s1"].step()
    assert not site.owners["s1"].decide("north", 1)
    site.end_runs()
    site.run_steps(6)
    assert site.used("north") == LIMIT


def test_all_owners_are_lost(site):
    """Guards against runs of former owners that nobody counts."""
    _flood(site, "s1", "s2")
    site.run_steps(4)
    for service in site.services:
        site.take_over(service)
    _flood(site, "s1", "s2")
    site.run_steps(5)
    assert site.used("north") == LIMIT
    site.end_runs("s1")
    site.run_steps(4)
    assert site.used("north") == LIMIT


def test_single_task_beyond_the_limit_runs_alone(site):
    """Guards against a task that never runs, or runs beside others."""
    _flood(site, "s2")
    site.run_steps(3)
    site.owners["s1"].waiting["north"] = [LIMIT + 4]
    site.run_steps(3)
    site.owners["s2"].waiting.clear()
    site.end_runs()
    site.run_steps(8)
    assert site.used("north") == LIMIT + 4
    _flood(site, "s2")
    site.run_steps(3)
    assert site.used("north") == LIMIT + 4
    site.end_runs()
    site.run_steps(5)
    assert site.used("north") >= LIMIT // 2


def test_tasks_beyond_the_limit_leave_turns_to_others(site):
    """Guards against a service that gets nothing while another one runs such tasks."""
    site.owners["s1"].waiting["north"] = [LIMIT + 4] * 20
    site.run_steps(4)
    assert site.used("north") == LIMIT + 4
    other = site.owners["s2"]
    other.waiting["north"] = [1] * 4
    for _ in range(10):
        site.end_runs()
        site.run_steps(2)
    assert not other.waiting["north"]


def _start_gang(owner, count):
    if not owner.ledger.allows("north", make_demand(1), count):
        return False
    return all([owner.decide("north", 1) for _ in range(count)])


def test_gang_larger_than_its_share_holds_no_unused_grant():
    """Guards against services that each keep a share in which their gang can't run.

    One service floods, and each of the others has a gang of more than a quarter of the
    limit.
    """
    site = QuotaSite(("s1", "s2", "s3", "s4"), make_accounts(north=LIMIT))
    _flood(site, "s4")
    site.run_steps(4)
    gangs = {"s1", "s2", "s3"}
    for number in range(60):
        site.now_s += STEP_S
        _flood(site, "s4")
        for name, owner in site.owners.items():
            owner.read()
            owner.learn_ends()
            if name in gangs:
                owner.waiting["north"] = [1] * 6
                if _start_gang(owner, 6):
                    gangs.remove(name)
                    owner.waiting.clear()
            owner.send()
            if name == "s4":
                owner.decide_waiting()
            owner.commit()
        if number % 4 == 3:
            site.end_runs()
    assert not gangs


def test_gang_beyond_the_limit_never_starts_and_leaves_others_their_share(site):
    """Guards against a gang that runs above the limit, or takes all of it in vain."""
    owner = site.owners["s1"]
    for _ in range(20):
        site.now_s += STEP_S
        assert not _start_gang(owner, LIMIT + 1)
        owner.read()
        owner.waiting = {"north": [1] * (LIMIT + 1)}
        owner.send()
        if site.now_s > 5 * STEP_S:
            _flood(site, "s2")
            site.owners["s2"].step()
    assert site.used("north") >= LIMIT // 2


def test_entry_of_a_removed_service_is_dropped(site):
    """Guards against a grant that stays with a service that is configured no more."""
    _flood(site, "s1")
    site.run_steps(4)
    site.end_runs()
    del site.owners["s1"]
    site.services.remove("s1")
    _flood(site, "s2")
    site.run_steps(4)
    assert site.used("north") < LIMIT
    site.run_steps(int(20 / STEP_S))
    assert site.used("north") == LIMIT


@pytest.mark.parametrize("is_skipped", (False, True))
def test_entry_of_a_service_that_has_returned_is_kept(site, is_skipped):
    """Guards against a dropped grant of a service that is configured again.

    The other owner applies the configuration later, or only the one after it, in which
    the service is removed again. Without the entry it would use the whole limit.
    """
    first, services = site.owners["s1"], ["s1", "s2"]
    site.services = ["s1"]
    site.configure(north=LIMIT)
    del site.owners["s2"]
    first.waiting["north"] = [1]
    site.run_steps(2)
    site.now_s += 10.0
    other = site.take_over("s2")
    _flood(site, "s2")
    other.send()
    first.step()
    site.now_s += 20.0
    first.step()
    site.services = services
    site.configure(north=LIMIT)
    second = site.take_over("s2")
    _flood(site, "s1", "s2")
    for _ in range(2):
        site.now_s += STEP_S
        second.step()
    assert site.used("north") > 1
    if is_skipped:
        site.services = ["s1"]
        site.configure(north=LIMIT)
        first.apply_configuration()
    for _ in range(2):
        site.now_s += STEP_S
        first.read()
        first.send()
    assert _stored_grant(site, "s2") >= site.used("north") - 1
    site.services = services
    site.run_steps(8)
    assert site.used("north") <= LIMIT


def test_malformed_row_affects_its_account_only(site):
    """Guards against starts by a row that can't be read, and against an owner's end."""
    site.configurations[0] = make_accounts(north=LIMIT, south=LIMIT)
    _flood(site, "s1")
    site.run_steps(2)
    site.end_runs()
    owner = site.owners["s1"]
    row = site.store.rows["north"]
    site.store.version += 1
    site.store.rows["north"] = row._replace(value=b"[", version=site.store.version)
    owner.waiting["south"] = [1]
    site.run_steps(3)
    assert site.used("north") == 0
    assert site.used("south") == 1


def test_nothing_is_limited_without_accounts(site):
    """Guards against writes or refusals in a fleet without client accounts."""
    site.configurations.append(None)
    owner = site.owners["s1"]
    owner.apply_configuration()
    assert owner.ledger.allows("north", make_demand(10**6))
    assert (
        owner.ledger.next_write({"north": make_demand(9)}, Resources(9, 9), 9.0) is None
    )
    assert owner.ledger.status() == ()


def test_copy_changes_nothing(site):
    """Guards against an explanation that changes what the owner decides next."""
    _flood(site, "s1")
    site.owners["s1"].send()
    ledger = site.owners["s1"].ledger
    twin = ledger.copy(AccountUsage())
    assert twin.allows("north", make_demand(LIMIT))
    assert not twin.allows("north", make_demand(LIMIT + 1))
    assert ledger._refused.smallest("north") is None


def test_limited_account_is_told_from_one_that_can_get_more(site):
    """Guards against hosts for tasks that the limit keeps waiting, and the reverse."""
    _flood(site, "s1")
    ledger = site.owners["s1"].ledger
    assert not ledger.is_limited("north")
    site.run_steps(4)
    assert ledger.is_limited("north")
    assert not ledger.is_limited("")


def test_takeover_of_many_accounts_in_batches():
    """Guards against transactions above the store's bound of 100 entries."""
    names = [f"a{number}" for number in range(60)]
    site = QuotaSite(("s1",), make_accounts(**dict.fromkeys(names, LIMIT)))
    site.owners["s1"].waiting = {name: [1] for name in names}
    site.run_steps(3)
    owner = site.take_over("s1")
    writes_count = site.store.writes_count
    site.run_steps(3)
    assert site.store.writes_count == writes_count + 2
    assert all(owner.ledger.allows(name, make_demand(1)) for name in names)
