"""Settings of the command-line tool."""

from typing import Annotated

import msgspec

from sycamorecroft.settings.fields import Settings, documented


class ToolSettings(Settings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of the command-line tool."""

    daemon_urls: Annotated[
        tuple[str, ...],
        documented(
            "Base URLs of the daemons, in the order in which they are tried.",
            allowed="`http://IP:port` each",
            min_length=1,
            max_length=99,
        ),
    ]
    operator_token: Annotated[
        Annotated[str, msgspec.Meta(min_length=16)] | None,
        documented(
            "Bearer token of operators; must equal the daemons' `operator_token`.",
            allowed="at least 16 characters, or null",
        ),
    ] = None
    timeout_s: Annotated[
        float,
        documented("Timeout of a call to a daemon.", unit="seconds", ge=0.1, le=120),
    ] = 10.0
