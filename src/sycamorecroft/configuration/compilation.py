"""Compiles a template and parameter files into a fleet configuration."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar

from sycamorecroft.configuration.fleet import (
    AccountConfiguration,
    FleetConfiguration,
    PoolConfiguration,
    ServiceConfiguration,
    TeamConfiguration,
)
from sycamorecroft.configuration.parameters import (
    DeclaredParameter,
    declared_parameters,
    fill_in,
    parameter_values,
)
from sycamorecroft.configuration.template import (
    FleetBody,
    HostInventory,
    Name,
    ParameterFile,
    PoolBody,
    ServiceBody,
    TeamBody,
    Template,
)
from sycamorecroft.errors import ConfigurationError
from sycamorecroft.settings.document import DocumentPlace, convert

Item = TypeVar("Item")


def compile_configuration(
    template: Template,
    parameter_files: Sequence[ParameterFile],
    version: int,
    inventory: HostInventory | None = None,
) -> FleetConfiguration:
    """
    :param template: template of one kind of fleet.
    :param parameter_files: one file for each client account.
    :param version: version to give to the result.
    :param inventory: hosts of the site; when given, pools must not need more.
    :returns: the configuration of all client accounts.
    :raises ConfigurationError: naming the file, the key's path, the value and the rule.
    """
    declared = declared_parameters(template)
    if not parameter_files:
        message = f"{template.file}: no parameter file was named; name at least one"
        raise ConfigurationError(message)
    compiler = _Compiler(template, declared, inventory)
    for parameters in parameter_files:
        compiler.add_account(parameters)
    return FleetConfiguration(
        version, compiler.accounts, compiler.pools, compiler.services
    )


class _Compiler:
    """Collects accounts, pools and services and refuses duplicate names."""

    def __init__(
        self,
        template: Template,
        declared: Mapping[str, DeclaredParameter],
        inventory: HostInventory | None,
    ) -> None:
        self.accounts: dict[str, AccountConfiguration] = {}
        self.pools: dict[str, PoolConfiguration] = {}
        self.services: dict[str, ServiceConfiguration] = {}
        self._template = template
        self._declared = declared
        self._inventory = inventory

    def add_account(self, parameters: ParameterFile) -> None:
        """
        :raises ConfigurationError: if the account is not valid or repeats a name.
        """
        root = DocumentPlace(parameters.file, "", ConfigurationError)
        account = parameters.document.account
        if account in self.accounts:
            raise root.at("account").failure(
                account, "an account that no other file has", "merge the files"
            )
        if parameters.document.fleet != self._template.document.fleet:
            raise root.at("fleet").failure(
                parameters.document.fleet,
                f"{self._template.document.fleet}, the template's kind of fleet",
                "name the template of this kind of fleet",
            )
        values = parameter_values(self._declared, parameters)
        body_place = DocumentPlace(self._template.file, "body", ConfigurationError)
        raw = fill_in(self._template.document.body, values, body_place)
        # A value that breaks a rule may stem from either file, so both are named.
        place = body_place._replace(path=f"body (with {parameters.file})")
        self._add_body(account, convert(raw, FleetBody, place), place)

    def _add_body(self, account: str, body: FleetBody, place: DocumentPlace) -> None:
        _convert_names(body, place)
        self.accounts[account] = AccountConfiguration(
            account,
            body.data_centres,
            body.availability_ratio,
            _convert_items(body.teams, TeamBody, place.at("teams"), _team),
        )
        pools = _convert_items(
            body.pools,
            PoolBody,
            place.at("pools"),
            lambda name, pool: _pool(name, account, pool),
        )
        services = _convert_items(
            body.services,
            ServiceBody,
            place.at("services"),
            lambda name, service: _service(name, account, service),
        )
        _check_spare(pools, place.at("pools"))
        _check_services(services, pools, place.at("services"))
        self._check_hosts(body, pools, place.at("pools"))
        _add_all(self.pools, pools, place.at("pools"))
        _add_all(self.services, services, place.at("services"))

    def _check_hosts(
        self,
        body: FleetBody,
        pools: Mapping[str, PoolConfiguration],
        place: DocumentPlace,
    ) -> None:
        if self._inventory is None:
            return
        left_count = sum(
            host.data_centre in body.data_centres for host in self._inventory.workers
        ) - sum(pool.hosts_count for pool in self.pools.values())
        for pool in pools.values():
            if pool.hosts_count > left_count:
                raise (
                    place.at(pool.name)
                    .at("hosts_count")
                    .failure(
                        pool.hosts_count,
                        f"at most {left_count}, the workers in "
                        f"{', '.join(body.data_centres)} that no other pool has",
                        "lower hosts_count of this or another pool, or add workers",
                    )
                )
            left_count -= pool.hosts_count


def _convert_names(body: FleetBody, place: DocumentPlace) -> None:
    groups = {"teams": body.teams, "pools": body.pools, "services": body.services}
    for key, names in groups.items():
        if not names:
            raise place.at(key).failure({}, "at least one entry", "add one")
        for name in names:
            convert(name, Name, place.at(key).at(name))
    if len(set(body.data_centres)) < len(body.data_centres):
        raise place.at("data_centres").failure(
            body.data_centres, "each data centre once", "remove the repetition"
        )


def _convert_items(
    raw: Mapping[str, Any],
    kind: type[Any],
    place: DocumentPlace,
    build: Callable[[str, Any], Item],
) -> dict[str, Item]:
    return {
        name: build(name, convert(value, kind, place.at(name)))
        for name, value in raw.items()
    }


def _team(name: str, body: TeamBody) -> TeamConfiguration:
    return TeamConfiguration(name, body.weight, body.slots_quota_count)


def _pool(name: str, account: str, body: PoolBody) -> PoolConfiguration:
    return PoolConfiguration(
        name, account, body.hosts_count, body.max_unavailable_ratio, body.is_spare
    )


def _service(name: str, account: str, body: ServiceBody) -> ServiceConfiguration:
    return ServiceConfiguration(
        name,
        account,
        body.pool,
        body.is_repeatable,
        body.default_urgency,
        body.timeout_s,
        body.body_limit_bytes,
        tuple(sorted(set(body.refusal_statuses))),
    )


def _check_spare(pools: Mapping[str, PoolConfiguration], place: DocumentPlace) -> None:
    spares = [pool.name for pool in pools.values() if pool.is_spare]
    if len(spares) > 1:
        raise (
            place.at(spares[1])
            .at("is_spare")
            .failure(
                True,
                f"one spare pool for each account, which is {spares[0]}",
                "set is_spare to false on all pools but one",
            )
        )


def _check_services(
    services: Mapping[str, ServiceConfiguration],
    pools: Mapping[str, PoolConfiguration],
    place: DocumentPlace,
) -> None:
    taken: dict[str, str] = {}
    for service in services.values():
        where = place.at(service.name).at("pool")
        if service.pool not in pools:
            raise where.failure(
                service.pool,
                "one of the account's pools " + ", ".join(pools),
                "add the pool or correct the name",
            )
        other = taken.setdefault(service.pool, service.name)
        if other != service.name:
            raise where.failure(
                service.pool,
                f"a pool of its own; this one serves {other}",
                "give each service its own pool",
            )


def _add_all(
    target: dict[str, Item], items: Mapping[str, Item], place: DocumentPlace
) -> None:
    for name, item in items.items():
        if name in target:
            raise place.at(name).failure(
                name,
                "a name that no other account uses",
                "make the name unique, for instance by a prefix parameter",
            )
        target[name] = item
