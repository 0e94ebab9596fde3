"""File formats of templates, parameter files and host inventories."""

from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

import msgspec

from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.errors import ConfigurationError
from sycamorecroft.settings.document import DocumentLocation, convert, read_document

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
ParameterName = Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9_]{0,62}$")]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
RefusalStatus = Annotated[int, msgspec.Meta(ge=400, le=599)]
ParameterType = Literal["integer", "number", "boolean", "text", "texts", "teams"]


class ParameterDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declaration of a template's parameter; without a default it is required.

    ``minimum`` and ``maximum`` apply to numbers, ``choices`` applies to texts.
    """

    type: ParameterType
    description: str
    default: Any = msgspec.UNSET
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] | None = None


class TemplateDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a template file. ``body`` references parameters as ``${name}``."""

    fleet: Name
    parameters: dict[ParameterName, dict[str, Any]]
    body: dict[str, Any]


class ParameterDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a parameter file of one client account for a kind of fleet."""

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
    """Body of a template after substitution of the parameters.

    The values of ``teams``, ``pools`` and ``services`` are decoded separately, so that
    errors name their location.
    """

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
    """A worker of the inventory; ``pool`` is its initial pool, if any."""

    name: Name
    data_centre: Name
    rack: Name
    port_offset: Annotated[int, msgspec.Meta(ge=0, le=60_000)]
    pool: Name | None = None


class InventorySize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size of each worker of an inventory; all have the same."""

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
    :param path: template file.
    :raises ConfigurationError: if the file is not valid; the message names the file,
        the path of the key, the value and the rule.
    """
    location = DocumentLocation(Path(path), "", ConfigurationError)
    raw = read_document(location.file, ConfigurationError)
    return Template(location.file, convert(raw, TemplateDocument, location))


def load_parameters(path: str | Path) -> ParameterFile:
    """
    :param path: parameter file of a client account.
    :raises ConfigurationError: if the file is not valid; the message names the file,
        the path of the key, the value and the rule.
    """
    location = DocumentLocation(Path(path), "", ConfigurationError)
    raw = read_document(location.file, ConfigurationError)
    return ParameterFile(location.file, convert(raw, ParameterDocument, location))


def load_inventory(path: str | Path) -> HostInventory:
    """
    :param path: inventory file of a site.
    :raises ConfigurationError: if the file is not valid or two workers have the same
        name or address; the message names the file, the path of the key, the value and
        the rule.
    """
    location = DocumentLocation(Path(path), "", ConfigurationError)
    inventory = convert(
        read_document(location.file, ConfigurationError), HostInventory, location
    )
    seen: set[str | int] = set()
    for index, host in enumerate(inventory.workers):
        for key, value in (("name", host.name), ("port_offset", host.port_offset)):
            if value in seen:
                raise (
                    location.at(f"workers[{index}]")
                    .at(key)
                    .invalid_value(
                        value,
                        f"a {key} that no other worker has",
                        "remove the duplicate",
                    )
                )
            seen.add(value)
    return inventory
