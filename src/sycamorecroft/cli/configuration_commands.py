"""Commands that validate, compare, publish and roll back the configuration."""

import getpass
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from sycamorecroft.cli.common import (
    Command,
    JsonFlag,
    SettingsPath,
    create_operator_client,
    register_commands,
)
from sycamorecroft.cli.output import print_json, print_line, print_table
from sycamorecroft.configuration.compilation import compile_configuration
from sycamorecroft.configuration.difference import (
    ConfigurationDifference,
    ItemChange,
    diff_configurations,
)
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.configuration.store import PublishedVersion
from sycamorecroft.configuration.template import (
    load_inventory,
    load_parameters,
    load_template,
)
from sycamorecroft.errors import ConfigurationError

TemplatePath = Annotated[Path, Parameter(help="Template file.")]
InventoryPath = Annotated[
    Path | None,
    Parameter(
        help="Host file of the site; pools must not need more hosts than it lists."
    ),
]
BaseVersion = Annotated[
    int,
    Parameter(
        help="Version that the change is based on, as printed by diff or history."
    ),
]
Author = Annotated[
    str | None, Parameter(help="Author in the history; the login name by default.")
]

_EXAMPLE_FILES = "template.jsonc street-safety-trust.jsonc"


def register(app: App) -> None:
    """Adds the commands to ``app``."""
    register_commands(
        app,
        Command(
            "validate", validate, (f"validate {_EXAMPLE_FILES} --hosts hosts.json",)
        ),
        Command("diff", diff, (f"diff {_EXAMPLE_FILES}",)),
        Command("apply", apply, (f"apply {_EXAMPLE_FILES} --base-version 4",)),
        Command("rollback", rollback, ("rollback 3 --base-version 5",)),
        Command("history", history, ("history",)),
    )


def validate(
    template: TemplatePath,
    *parameters: Path,
    hosts: InventoryPath = None,
    json: JsonFlag = False,
) -> None:
    """Check a template and parameter files without calling a daemon.

    :param parameters: Parameter files, one per client account.
    """
    compiled = _compile(template, parameters, hosts)
    if json:
        print_json(compiled)
        return
    print_table(
        "Pools",
        ("pool", "account", "hosts", "most out of service", "spare"),
        (
            (p.name, p.account, p.hosts_count, p.max_unavailable_ratio, p.is_spare)
            for p in compiled.pools.values()
        ),
    )
    print_line("valid")


def diff(
    template: TemplatePath,
    *parameters: Path,
    hosts: InventoryPath = None,
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """Show the changes that applying the files would make, and their cost in hosts.

    :param parameters: Parameter files, one per client account.
    """
    compiled = _compile(template, parameters, hosts)
    client = create_operator_client(settings)
    current = client.configuration()
    base_version = current.version if current else 0
    records = {record["host"]: record for record in client.hosts().hosts}
    difference = diff_configurations(
        current, compiled._replace(version=base_version + 1), records
    )
    if json:
        print_json(difference)
    else:
        _print_difference(difference)


def apply(
    template: TemplatePath,
    *parameters: Path,
    base_version: BaseVersion,
    hosts: InventoryPath = None,
    author: Author = None,
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """Compile the files and publish the result as a new version.

    :param parameters: Parameter files, one per client account.
    """
    compiled = _compile(template, parameters, hosts)
    published = create_operator_client(settings).publish(
        compiled, base_version=base_version, author=author or _login_name()
    )
    _print_published(published, json)


def rollback(
    to_version: int,
    *,
    base_version: BaseVersion,
    author: Author = None,
    settings: SettingsPath = None,
    json: JsonFlag = False,
) -> None:
    """Publish the content of an earlier version as a new version.

    :param to_version: Version whose content to publish.
    """
    published = create_operator_client(settings).rollback(
        to_version, base_version=base_version, author=author or _login_name()
    )
    _print_published(published, json)


def history(*, settings: SettingsPath = None, json: JsonFlag = False) -> None:
    """List the most recently published versions, latest first."""
    versions = create_operator_client(settings).history()
    if json:
        print_json(versions)
        return
    print_table(
        "Versions",
        ("version", "base", "author", "published at", "content of version"),
        (
            (
                item.version,
                item.base_version,
                item.author,
                item.published_at.isoformat(timespec="seconds"),
                item.rolled_back_to or "",
            )
            for item in versions
        ),
    )


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError) as cause:
        message = "the user has no login name; give the author with --author"
        raise ConfigurationError(message) from cause


def _compile(
    template: Path, parameters: tuple[Path, ...], hosts: Path | None
) -> FleetConfiguration:
    return compile_configuration(
        load_template(template),
        [load_parameters(path) for path in parameters],
        1,
        None if hosts is None else load_inventory(hosts),
    )


def _print_published(published: PublishedVersion, as_json: bool) -> None:
    if as_json:
        print_json(published)
        return
    print_line(
        f"version {published.version} published by {published.author} at "
        f"{published.published_at.isoformat(timespec='seconds')}"
    )


def _print_difference(difference: ConfigurationDifference) -> None:
    for title, changes in (
        ("Accounts", difference.accounts),
        ("Pools", difference.pools),
        ("Services", difference.services),
    ):
        print_table(
            title, ("name", "change", "field", "old", "new"), _change_rows(changes)
        )
    print_table(
        "Availability budgets that get tighter",
        ("pool", "hosts allowed out", "new"),
        difference.tightened_budgets,
    )
    print_table(
        "Hosts to move",
        ("pool", "present", "needed", "entering", "leaving"),
        difference.moves,
    )
    buffer = difference.buffer_cost
    print_line(f"hosts that must move: {difference.moves_count}")
    print_line(f"hosts missing: {difference.missing_hosts_count}")
    print_line(
        f"hosts in reserve: {buffer.old_hosts_count} now, {buffer.new_hosts_count} then"
    )
    print_line(f"to publish, name --base-version {difference.old_version}")


def _change_rows(changes: tuple[ItemChange, ...]) -> list[tuple[str, ...]]:
    rows = []
    for change in changes:
        fields = change.fields or (("", "", ""),)
        rows.extend((change.name, change.kind, *field) for field in fields)
    return rows
