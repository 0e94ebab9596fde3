from sycamorecroft.configuration.difference import (
    BudgetChange,
    BufferCost,
    ChangeKind,
    FieldChange,
    diff_configurations,
)
from sycamorecroft.configuration.fleet import (
    AccountConfiguration,
    FleetConfiguration,
    PoolConfiguration,
    ServiceConfiguration,
    TeamConfiguration,
    Urgency,
)


def _configuration(version, *pools, weight=1.0):
    team = TeamConfiguration("clerks", weight, 10)
    return FleetConfiguration(
        version,
        {"trust": AccountConfiguration("trust", ("x",), 0.9, {"clerks": team})},
        {pool.name: pool for pool in pools},
        {
            pool.name: ServiceConfiguration(
                pool.name, "trust", pool.name, True, Urgency.NORMAL, 1.0, 1024, ()
            )
            for pool in pools
        },
    )


def _pool(name, hosts_count, ratio=0.25, is_spare=False):
    return PoolConfiguration(name, "trust", hosts_count, ratio, is_spare)


def _hosts(**counts):
    names = [pool for pool, count in counts.items() for _ in range(count)]
    return {f"{pool}-{n}": {"pool": pool} for n, pool in enumerate(names)}


OLD = _configuration(
    1, _pool("rating", 8), _pool("hotline", 8), _pool("spare", 4, is_spare=True)
)
HOSTS = _hosts(rating=8, hotline=8, spare=4)


def test_diff_counts_moves_tightened_budgets_and_buffer():
    """Guards against a diff that hides the cost of an apply from the operator."""
    new = _configuration(
        2, _pool("rating", 11), _pool("hotline", 7), _pool("spare", 2, is_spare=True)
    )
    difference = diff_configurations(OLD, new, HOSTS)
    assert difference.moves_count == 3
    assert difference.missing_hosts_count == 0
    assert [(m.entering_count, m.leaving_count) for m in difference.moves] == [
        (0, 1),
        (3, 0),
        (0, 2),
    ]
    assert difference.tightened_budgets == (
        BudgetChange("hotline", 2, 1),
        BudgetChange("spare", 1, 0),
    )
    assert difference.buffer_cost == BufferCost(4, 2)
    assert [item.name for item in difference.pools] == ["hotline", "rating", "spare"]
    assert difference.services == ()


def test_diff_lists_added_removed_and_changed_items():
    """Guards against changes that are missing from the diff."""
    new = _configuration(
        2, _pool("rating", 8), _pool("permits", 8), _pool("spare", 4), weight=2.0
    )
    difference = diff_configurations(OLD, new, HOSTS)
    assert [(item.name, item.kind) for item in difference.services] == [
        ("hotline", ChangeKind.REMOVED),
        ("permits", ChangeKind.ADDED),
    ]
    assert difference.pools[2].fields == (FieldChange("is_spare", "True", "False"),)
    (field,) = difference.accounts[0].fields
    assert field.field == "teams.clerks"
    assert "weight 2.0" in field.new


def test_missing_hosts_are_not_counted_as_moves():
    """Guards against moves that are counted for hosts that don't exist."""
    difference = diff_configurations(None, OLD, _hosts(rating=8, unassigned=5))
    assert difference.missing_hosts_count == 7
    assert difference.moves_count == 5
    assert difference.buffer_cost == BufferCost(13, 4)
