"""Compiles a template and parameter files into a validated fleet configuration."""

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
    parameter_values,
    substitute,
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
from sycamorecroft.settings.document import DocumentLocation, convert

Item = TypeVar("Item")


def compile_configuration(
    template: Template,
    parameter_files: Sequence[ParameterFile],
    version: int,
    inventory: HostInventory | None = None,
) -> FleetConfiguration:
    """
    :param template: template of a kind of fleet.
    :param parameter_files: one file per client account.
    :param version: version number of the result.
    :param inventory: hosts of the site; if given, pools must not need more workers than
        it has.
    :returns: the configuration of all client accounts.
    :raises ConfigurationError: if an input is not valid; the message names the file,
        the path of the key, the value and the rule.
    """
    declared = declared_parameters(template)
    if not parameter_files:
        message = f"{template.file}: got no parameter files; specify at least one"
        raise ConfigurationError(message)
    compiler = _Compiler(template, declared, inventory)
    for parameters in parameter_files:
        compiler.add_account(parameters)
    return FleetConfiguration(
        version, compiler.accounts, compiler.pools, compiler.services
    )


class _Compiler:
    """Collects accounts, pools and services, and rejects duplicate names."""

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
        :raises ConfigurationError: if the account is not valid or duplicates a name.
        """
        root = DocumentLocation(parameters.file, "", ConfigurationError)
        account = parameters.document.account
        if account in self.accounts:
            raise root.at("account").invalid_value(
                account, "an account that no other file defines", "merge the files"
            )
        if parameters.document.fleet != self._template.document.fleet:
            raise root.at("fleet").invalid_value(
                parameters.document.fleet,
                f"{self._template.document.fleet}, the template's kind of fleet",
                "use the template of this kind of fleet",
            )
        values = parameter_values(self._declared, parameters)
        body_location = DocumentLocation(
            self._template.file, "body", ConfigurationError
        )
        raw = substitute(self._template.document.body, values, body_location)
        # An invalid value may come from either file, so the message names both.
        location = body_location._replace(path=f"body (with {parameters.file})")
        self._add_body(account, convert(raw, FleetBody, location), location)

    def _add_body(
        self, account: str, body: FleetBody, location: DocumentLocation
    ) -> None:
        _check_names(body, location)
        self.accounts[account] = AccountConfiguration(
            account,
            body.data_centres,
            body.availability_ratio,
            _convert_items(body.teams, TeamBody, location.at("teams"), _team),
        )
        pools = _convert_items(
            body.pools,
            PoolBody,
            location.at("pools"),
            lambda name, pool: _pool(name, account, pool),
        )
        services = _convert_items(
            body.services,
            ServiceBody,
            location.at("services"),
            lambda name, service: _service(name, account, service),
        )
        _check_spare_pools(pools, location.at("pools"))
        _check_services(services, pools, location.at("services"))
        self._check_hosts(body, pools, location.at("pools"))
        _add_all(self.pools, pools, location.at("pools"))
        _add_all(self.services, services, location.at("services"))

    def _check_hosts(
        self,
        body: FleetBody,
        pools: Mapping[str, PoolConfiguration],
        location: DocumentLocation,
    ) -> None:
        if self._inventory is None:
            return
        free_workers_count = sum(
            host.data_centre in body.data_centres for host in self._inventory.workers
        ) - sum(pool.hosts_count for pool in self.pools.values())
        for pool in pools.values():
            if pool.hosts_count > free_workers_count:
                raise (
                    location.at(pool.name)
                    .at("hosts_count")
                    .invalid_value(
                        pool.hosts_count,
                        f"at most {free_workers_count}, the workers in "
                        f"{', '.join(body.data_centres)} that no other pool uses",
                        "reduce hosts_count of this or another pool, or add workers",
                    )
                )
            free_workers_count -= pool.hosts_count


def _check_names(body: FleetBody, location: DocumentLocation) -> None:
    groups = {"teams": body.teams, "pools": body.pools, "services": body.services}
    for key, names in groups.items():
        if not names:
            raise location.at(key).invalid_value(
                {}, "at least one entry", "add an entry"
            )
        for name in names:
            convert(name, Name, location.at(key).at(name))
    if len(set(body.data_centres)) < len(body.data_centres):
        raise location.at("data_centres").invalid_value(
            body.data_centres, "each data centre once", "remove the duplicate"
        )


def _convert_items(
    raw: Mapping[str, Any],
    body_type: type[Any],
    location: DocumentLocation,
    create: Callable[[str, Any], Item],
) -> dict[str, Item]:
    return {
        name: create(name, convert(value, body_type, location.at(name)))
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


def _check_spare_pools(
    pools: Mapping[str, PoolConfiguration], location: DocumentLocation
) -> None:
    spare_pools = [pool.name for pool in pools.values() if pool.is_spare]
    if len(spare_pools) > 1:
        raise (
            location.at(spare_pools[1])
            .at("is_spare")
            .invalid_value(
                True,
                f"one spare pool per account, already {spare_pools[0]}",
                "set is_spare to false on all pools except one",
            )
        )


def _check_services(
    services: Mapping[str, ServiceConfiguration],
    pools: Mapping[str, PoolConfiguration],
    location: DocumentLocation,
) -> None:
    service_by_pool: dict[str, str] = {}
    for service in services.values():
        pool_location = location.at(service.name).at("pool")
        if service.pool not in pools:
            raise pool_location.invalid_value(
                service.pool,
                "one of the account's pools " + ", ".join(pools),
                "add the pool or correct the name",
            )
        other = service_by_pool.setdefault(service.pool, service.name)
        if other != service.name:
            raise pool_location.invalid_value(
                service.pool,
                f"a pool used by no other service; this one runs {other}",
                "give each service its own pool",
            )


def _add_all(
    target: dict[str, Item], items: Mapping[str, Item], location: DocumentLocation
) -> None:
    for name, item in items.items():
        if name in target:
            raise location.at(name).invalid_value(
                name,
                "a name that no other account uses",
                "make the name unique, for example with a prefix parameter",
            )
        target[name] = item
