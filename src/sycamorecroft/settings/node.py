"""Settings of a node: the daemon of an entry host on the users' machines."""

from typing import Annotated, Literal

import msgspec

from sycamorecroft.settings.fields import Settings, documented


class StoreSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The platform's store of rows."""

    address: Annotated[str, documented("Address of the store.", allowed="`IP:port`")]
    row_limit_bytes: Annotated[
        int, documented("Longest value of a row.", unit="bytes", ge=1024)
    ]


class MachineSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Control of the machines."""

    address: Annotated[str, documented("Address of the service.", allowed="`IP:port`")]
    lease_ms: Annotated[
        int,
        documented(
            "Two hosts must not give orders for one machine within this time.",
            unit="ms",
            ge=0,
        ),
    ]


class BoundSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Bounds that the platform sets."""

    grace_s: Annotated[
        float, documented("Time from SIGTERM to SIGKILL.", unit="s", gt=0)
    ]
    lease_max_ms: Annotated[
        int, documented("Longest lease that a worker grants.", unit="ms", ge=100)
    ]
    status_s: Annotated[
        float, documented("How long an ended job can be asked for.", unit="s", ge=0)
    ]
    upkeep_s: Annotated[
        float, documented("Duration of a machine's upkeep.", unit="s", ge=0)
    ]


class NodeSettings(Settings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one node."""

    host: Annotated[str, documented("Name of this entry host.", min_length=1)]
    data_centre: Annotated[str, documented("Data centre of this entry host.")]
    front_address: Annotated[
        str, documented("Listen address for callers.", allowed="`IP:port`")
    ]
    ready_address: Annotated[
        str, documented("Listen address for readiness probes.", allowed="`IP:port`")
    ]
    metrics_address: Annotated[
        str, documented("Listen address for metrics.", allowed="`IP:port`")
    ]
    store: Annotated[StoreSettings, documented("The platform's store.")]
    machines: Annotated[MachineSettings, documented("Control of the machines.")]
    advice_address: Annotated[
        str, documented("Service that approves workers; empty if there is none.")
    ] = ""
    bounds: Annotated[BoundSettings, documented("Bounds that the platform sets.")]
    thread_count: Annotated[
        int, documented("Threads that serve callers.", ge=4, le=512)
    ] = 48
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        documented("Lowest level of the log lines written."),
    ] = "info"
