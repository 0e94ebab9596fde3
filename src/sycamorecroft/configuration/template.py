"""Templates, parameter files and the host inventory, as operators write them."""

from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

import msgspec

from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.errors import ConfigurationError
from sycamorecroft.settings.document import DocumentPlace, convert, read_document

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
ParameterName = Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9_]{0,62}$")]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
RefusalStatus = Annotated[int, msgspec.Meta(ge=400, le=599)]
ParameterType = Literal["integer", "number", "boolean", "text", "texts", "teams"]


class ParameterDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A parameter that a template declares; without a default it is required.

    ``minimum`` and ``maximum`` limit numbers, ``choices`` limits texts.
    """

    type: ParameterType
    description: str
    default: Any = msgspec.UNSET
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] | None = None


class TemplateDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """File of a template. ``body`` may reference parameters as ``${name}``."""

    fleet: Name
    parameters: dict[ParameterName, dict[str, Any]]
    body: dict[str, Any]


class ParameterDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """File of parameters of one client account for one kind of fleet."""

    account: Name
    fleet: Name
    parameters: dict[str, Any]


class TeamBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team in the body of a template, or in a parameter of type ``teams``."""

    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)]
    slots_quota_count: Annotated[int, msgspec.Meta(ge=0, le=100_000)]


class PoolBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A pool in the body of a template."""

    hosts_count: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    max_unavailable_ratio: Ratio
    is_spare: bool = False


class ServiceBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service in the body of a template."""

    pool: Name
    is_repeatable: bool
    default_urgency: Urgency
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=3600)]
    body_limit_bytes: Annotated[int, msgspec.Meta(ge=1, le=256 * 1024 * 1024)]
    refusal_statuses: tuple[RefusalStatus, ...] = ()


class FleetBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a template once parameters are filled in; entries are decoded later."""

    data_centres: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]
    availability_ratio: Ratio
    teams: dict[str, Any]
    pools: dict[str, Any]
    services: dict[str, Any]


class Template(NamedTuple):
    """A template and the file it was read from."""

    file: Path
    document: TemplateDocument


class ParameterFile(NamedTuple):
    """Parameters of one client account and the file they were read from."""

    file: Path
    document: ParameterDocument


class InventoryHost(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A worker of the inventory; ``pool`` is where it starts, if anywhere."""

    name: Name
    data_centre: Name
    rack: Name
    port_offset: Annotated[int, msgspec.Meta(ge=0, le=60_000)]
    pool: Name | None = None


class InventorySize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size that all workers of an inventory share."""

    processors_count: Annotated[int, msgspec.Meta(ge=1)]
    memory_bytes: Annotated[int, msgspec.Meta(ge=1)]
    accelerators_count: Annotated[int, msgspec.Meta(ge=0)]
    slots_count: Annotated[int, msgspec.Meta(ge=1)]
    connections_count: Annotated[int, msgspec.Meta(ge=1)]


class HostInventory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Workers of a site. Host ``h`` listens on ``base_ip:base_port + port_offset``."""

    base_ip: str
    base_port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    worker_size: InventorySize
    workers: tuple[InventoryHost, ...]

    def address_of(self, host: InventoryHost) -> str:
        """
        :returns: ``ip:port`` of ``host``.
        """
        return f"{self.base_ip}:{self.base_port + host.port_offset}"


def load_template(path: str | Path) -> Template:
    """
    :param path: file of the template.
    :raises ConfigurationError: naming the file, the key's path, the value and the rule.
    """
    place = DocumentPlace(Path(path), "", ConfigurationError)
    raw = read_document(place.file, ConfigurationError)
    return Template(place.file, convert(raw, TemplateDocument, place))


def load_parameters(path: str | Path) -> ParameterFile:
    """
    :param path: file of parameters of one client account.
    :raises ConfigurationError: naming the file, the key's path, the value and the rule.
    """
    place = DocumentPlace(Path(path), "", ConfigurationError)
    raw = read_document(place.file, ConfigurationError)
    return ParameterFile(place.file, convert(raw, ParameterDocument, place))


def load_inventory(path: str | Path) -> HostInventory:
    """
    :param path: file of a site's hosts.
    :raises ConfigurationError: naming the file, the key's path, the value and the
        rule; also if two workers share a name or an address.
    """
    place = DocumentPlace(Path(path), "", ConfigurationError)
    inventory = convert(
        read_document(place.file, ConfigurationError), HostInventory, place
    )
    seen: set[str | int] = set()
    for index, host in enumerate(inventory.workers):
        for key, value in (("name", host.name), ("port_offset", host.port_offset)):
            if value in seen:
                raise (
                    place.at(f"workers[{index}]")
                    .at(key)
                    .failure(
                        value, f"a {key} that no other worker has", "correct the list"
                    )
                )
            seen.add(value)
    return inventory
