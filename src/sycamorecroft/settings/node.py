"""Settings of a node: the daemon of an entry host in the users' own fleet."""

from typing import Annotated, Literal

import msgspec

from sycamorecroft.settings.fields import Settings, documented


class StoreSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the platform's table store."""

    address: Annotated[str, documented("Address of the store.", allowed="`IP:port`")]
    row_limit_bytes: Annotated[
        int, documented("Maximum size of the value of a row.", unit="bytes", ge=1024)
    ]


class HostControlSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the service that controls the hosts on which workers run."""

    address: Annotated[
        str, documented("Address of the host control service.", allowed="`IP:port`")
    ]
    lease_ms: Annotated[
        int,
        documented(
            "Two entry hosts must not send operations for the same host within this "
            "time.",
            unit="ms",
            ge=0,
        ),
    ]


class PlatformLimitSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits set by the platform."""

    grace_s: Annotated[
        float, documented("Time from SIGTERM to SIGKILL.", unit="s", gt=0)
    ]
    lease_max_ms: Annotated[
        int, documented("Maximum lease that a worker grants.", unit="ms", ge=100)
    ]
    status_s: Annotated[
        float,
        documented(
            "How long the status of a finished job can be queried.", unit="s", ge=0
        ),
    ]
    stop_ms: Annotated[
        int, documented("Time that a worker may take to stop a run.", unit="ms", ge=0)
    ] = 1000
    upkeep_s: Annotated[
        float, documented("Duration of the upkeep of a host.", unit="s", ge=0)
    ]


DEFAULT_MEMORY_MB = 512.0
DEFAULT_DESCRIPTORS_COUNT = 8192.0


class HostCapacitySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What this entry host can carry."""

    processor_share_ratio: Annotated[
        float, documented("Share of the processor that the node may use.", gt=0)
    ] = 1.0
    processor_speed_ratio: Annotated[
        float, documented("Speed of the processor, as a multiple of one core.", gt=0)
    ] = 1.0
    link_mbps: Annotated[
        float,
        documented("Bandwidth of the network link.", unit="Mbit/s", gt=0),
    ] = 1000.0
    memory_mb: Annotated[
        Annotated[float, msgspec.Meta(ge=16)] | None,
        documented(
            "Memory of the host; bounds bodies and connections of callers. Null is the "
            "default.",
            unit="MB",
            allowed="from 16, or null",
        ),
    ] = DEFAULT_MEMORY_MB
    descriptors_count: Annotated[
        Annotated[float, msgspec.Meta(ge=256)] | None,
        documented(
            "Descriptors that the node may open; bounds connections of callers. Null "
            "is the default.",
            allowed="from 256, or null",
        ),
    ] = DEFAULT_DESCRIPTORS_COUNT

    @property
    def cores_count(self) -> float:
        """Processor capacity as a number of cores."""
        return self.processor_share_ratio * self.processor_speed_ratio


class PlacementSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """How the tasks of a service are placed on its workers."""

    remote_slowdown_ratio: Annotated[
        Annotated[float, msgspec.Meta(ge=1)] | None,
        documented(
            "Factor by which a task takes longer on a worker that isn't on the rack "
            "that it prefers. Tasks wait for that rack while they are expected to end "
            "earlier there; with 1 or null none waits.",
            allowed="from 1, or null",
        ),
    ] = 1.0
    is_preemption_enabled: Annotated[
        bool,
        documented(
            "Whether runs of less urgent queues may be stopped for jobs that would "
            "miss their objective otherwise; takes effect with client accounts only.",
            allowed="`true`, `false`",
        ),
    ] = False


class CapacityPlanningSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """How the fleet controller plans moves of hosts between pools."""

    is_forecast_enabled: Annotated[
        bool,
        documented(
            "Whether hosts are moved before demand that is forecast from earlier "
            "peaks.",
            allowed="`true`, `false`",
        ),
    ] = False


class NodeSettings(Settings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of a node."""

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
    store: Annotated[StoreSettings, documented("The platform's table store.")]
    machines: Annotated[
        HostControlSettings, documented("Service that controls the hosts.")
    ]
    advice_address: Annotated[
        str,
        documented(
            "Address of the service that approves workers; empty if there is none."
        ),
    ] = ""
    bounds: Annotated[PlatformLimitSettings, documented("Limits set by the platform.")]
    capacity: Annotated[
        HostCapacitySettings, documented("What this entry host can carry.")
    ] = HostCapacitySettings()
    placement: Annotated[
        PlacementSettings, documented("How tasks are placed on workers.")
    ] = PlacementSettings()
    capacity_planning: Annotated[
        CapacityPlanningSettings,
        documented("How moves of hosts between pools are planned."),
    ] = CapacityPlanningSettings()
    operator_token: Annotated[
        Annotated[str, msgspec.Meta(min_length=16)] | None,
        documented(
            "Bearer token with which operators may ask, on the listen address for "
            "metrics, where jobs would go; with null nobody may.",
            allowed="at least 16 characters, or null",
        ),
    ] = None
    thread_count: Annotated[
        int, documented("Threads that serve callers.", ge=4, le=512)
    ] = 48
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        documented("Minimum level of log lines."),
    ] = "info"
