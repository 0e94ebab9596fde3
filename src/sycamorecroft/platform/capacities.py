"""Numbers and capacities as the platform writes them."""

from typing import Annotated, TypedDict

import msgspec

from sycamorecroft.scheduling.model import Resources

# Beyond it floats are inexact; ratios of much larger numbers raise an error.
NUMBER_MAX = 2**53
WireNumber = Annotated[int, msgspec.Meta(ge=0, le=NUMBER_MAX)]
WireCapacity = TypedDict(
    "WireCapacity",
    {"cpu": WireNumber, "mem-mb": WireNumber, "gpu": WireNumber},
    total=False,
)


def decode_capacity(wire: WireCapacity) -> Resources:
    """
    :returns: the capacity, 0 for each resource that isn't named.
    """
    return Resources(wire.get("cpu", 0), wire.get("mem-mb", 0), wire.get("gpu", 0))
