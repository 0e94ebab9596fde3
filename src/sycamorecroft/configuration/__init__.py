"""Fleet configuration: templates, compilation, publishing, activation of versions."""

from sycamorecroft.configuration.codec import (
    decode_configuration,
    encode_configuration,
)
from sycamorecroft.configuration.compilation import compile_configuration
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.configuration.gate import PeerSnapshot, VersionGate
from sycamorecroft.configuration.store import ConfigurationStore, PublishedVersion
from sycamorecroft.configuration.template import (
    load_inventory,
    load_parameters,
    load_template,
)

__all__ = [
    "ConfigurationStore",
    "FleetConfiguration",
    "PeerSnapshot",
    "PublishedVersion",
    "VersionGate",
    "compile_configuration",
    "decode_configuration",
    "encode_configuration",
    "load_inventory",
    "load_parameters",
    "load_template",
]
