"""Guards against committed sites that differ from section 1.2 of docs/design.md."""

from collections import Counter
from pathlib import Path

import pytest

from sycamorecroft.configuration import (
    compile_configuration,
    load_inventory,
    load_parameters,
    load_template,
)
from sycamorecroft.settings import load_settings, load_tool_settings

DEPLOYMENTS = Path(__file__).parents[4] / "deployments"
SITES = {
    "ondangwa": ("street-safety-trust.jsonc", "dispatch"),
    "phalak": ("memorial-plaques.jsonc", "foundry"),
}


@pytest.fixture(params=SITES)
def site(request):
    return DEPLOYMENTS / request.param


def test_site_compiles_against_its_inventory(site):
    """Guards against a site that daemons reject at start, or operators can't apply."""
    parameters, non_repeatable_service = SITES[site.name]
    configuration = compile_configuration(
        load_template(site / "template.jsonc"),
        [load_parameters(site / parameters)],
        1,
        load_inventory(site / "hosts.json"),
    )
    services = configuration.services.values()
    assert [item.name for item in services if not item.is_repeatable] == [
        non_repeatable_service
    ]
    assert [p.name for p in configuration.pools.values() if p.is_spare] == [
        "backoffice"
    ]
    assert {p.max_unavailable_ratio for p in configuration.pools.values()} == {0.25}
    (account,) = configuration.accounts.values()
    assert sum(team.slots_quota_count for team in account.teams.values()) == 40 * 8


def test_inventory_has_racks_of_four_over_four_data_centres(site):
    """Guards against an inventory that differs from the layout in the design."""
    workers = load_inventory(site / "hosts.json").workers
    assert len(workers) == 40
    assert set(Counter(host.rack for host in workers).values()) == {4}
    assert set(Counter(host.pool for host in workers).values()) == {8}
    assert len({host.data_centre for host in workers}) == 4
    racks = {(host.rack, host.data_centre) for host in workers}
    assert len(racks) == len({rack for rack, _ in racks})


def test_settings_file_lists_every_key_with_its_default(site):
    """Guards against a file whose values differ from the defaults it documents."""
    text = (site / "daemon.jsonc").read_text(encoding="utf-8")
    settings = load_settings(site / "daemon.jsonc")
    assert len(settings.entries) == 9
    tool = load_tool_settings(site / "tool.jsonc")
    assert tool.daemon_urls[0] == f"http://{settings.http_address}"
    defaults = dict(
        zip(
            settings.__struct_fields__[-len(settings.__struct_defaults__) :],
            settings.__struct_defaults__,
            strict=True,
        )
    )
    for key in settings.__struct_fields__:
        assert f'"{key}":' in text
        if key in defaults:
            assert getattr(settings, key) == defaults[key], key
