"""Settings of the daemon."""

from typing import Annotated, Literal

import msgspec

from sycamorecroft.settings.fields import Settings, documented

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
_NAME_RULE = "lower-case letters, digits and hyphens, at most 63 characters"
_ADDRESS_RULE = "`IP:port`, an IPv6 address in brackets; no host name"

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]


class EntryHostAddress(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Name and address of an entry host."""

    name: Annotated[
        Name, documented("Name of the entry host; unique.", allowed=_NAME_RULE)
    ]
    grpc_address: Annotated[
        str,
        documented(
            "Address at which the entry host listens for its peers; unique.",
            allowed=_ADDRESS_RULE,
        ),
    ]


class DaemonSettings(Settings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one daemon. All daemons of a fleet list the same entry hosts."""

    entry: Annotated[
        Name,
        documented(
            "Name of this entry host; must be listed in `entries`.", allowed=_NAME_RULE
        ),
    ]
    data_centre: Annotated[
        Name,
        documented("Data centre of this entry host.", allowed=_NAME_RULE),
    ]
    http_address: Annotated[
        str,
        documented("Listen address for callers and operators.", allowed=_ADDRESS_RULE),
    ]
    grpc_address: Annotated[
        str,
        documented(
            "Listen address for peers; must equal this host's address in `entries`.",
            allowed=_ADDRESS_RULE,
        ),
    ]
    entries: Annotated[
        tuple[EntryHostAddress, ...],
        documented(
            "All entry hosts of the fleet, including this one. A configuration "
            "version comes into force by a majority of this list, so change it one "
            "host at a time.",
            min_length=1,
            max_length=99,
        ),
    ]
    platform_url: Annotated[
        str,
        documented(
            "Base URL of the platform's services.",
            allowed="`http://IP:port`, optionally with a path",
        ),
    ]
    operator_token: Annotated[
        Annotated[str, msgspec.Meta(min_length=16)] | None,
        documented(
            "Bearer token of operators. Required when `http_address` is not a "
            "loopback address.",
            allowed="at least 16 characters, or null",
        ),
    ] = None
    thread_count: Annotated[
        int,
        documented(
            "Threads that serve requests; must be greater than `admitted_limit_count`.",
            unit="threads",
            ge=8,
            le=4096,
        ),
    ] = 512
    admitted_limit_count: Annotated[
        int,
        documented(
            "Requests admitted or waiting at the same time; further requests are "
            "refused immediately.",
            unit="requests",
            ge=1,
            le=4000,
        ),
    ] = 400
    body_limit_bytes: Annotated[
        int,
        documented(
            "Maximum size of the body of a request or response.",
            unit="bytes",
            ge=1024,
            le=256 * 1024 * 1024,
        ),
    ] = 8 * 1024 * 1024
    in_flight_limit_bytes: Annotated[
        int,
        documented(
            "Maximum total size of the buffered bodies of all requests; at least "
            "`body_limit_bytes`.",
            unit="bytes",
            ge=1024,
            le=64 * 1024 * 1024 * 1024,
        ),
    ] = 512 * 1024 * 1024
    connection_limit_count: Annotated[
        int,
        documented(
            "Maximum number of open caller connections; must be greater than "
            "`thread_count`.",
            unit="connections",
            ge=16,
            le=65536,
        ),
    ] = 2048
    slow_sender_timeout_s: Annotated[
        float,
        documented(
            "Time without data from a caller after which its connection is closed.",
            unit="seconds",
            ge=1,
            le=600,
        ),
    ] = 30.0
    drain_grace_s: Annotated[
        float,
        documented(
            "Time between failing the readiness probe and closing the listener on "
            "a planned stop.",
            unit="seconds",
            ge=0,
            le=300,
        ),
    ] = 10.0
    gossip_interval_s: Annotated[
        float,
        documented(
            "Time between gossip rounds. A peer is suspected after 2 s, so several "
            "rounds must fit into 2 s.",
            unit="seconds",
            ge=0.05,
            le=1,
        ),
    ] = 0.5
    poll_interval_s: Annotated[
        float,
        documented(
            "Time between polls of the configuration head and of the host view.",
            unit="seconds",
            ge=0.1,
            le=2,
        ),
    ] = 1.0
    store_timeout_s: Annotated[
        float,
        documented(
            "Timeout of a call to the table service or object store.",
            unit="seconds",
            ge=0.05,
            le=5,
        ),
    ] = 1.0
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        documented("Minimum level of log lines."),
    ] = "info"
