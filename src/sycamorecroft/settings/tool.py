"""Settings of the command-line tool."""

from typing import Annotated

import msgspec

from sycamorecroft.settings.fields import Settings, documented


class ToolSettings(Settings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of the command-line tool."""

    daemon_urls: Annotated[
        tuple[str, ...],
        documented(
            "Base URLs of the daemons, in the order in which they are tried. One of "
            "`daemon_urls` and `node_urls` must have an entry.",
            allowed="`http://IP:port` each, 99 at most",
            max_length=99,
        ),
    ] = ()
    node_urls: Annotated[
        tuple[str, ...],
        documented(
            "Base URLs of the nodes' listen addresses for metrics, which are asked "
            "where jobs would go.",
            allowed="`http://IP:port` each, 99 at most",
            max_length=99,
        ),
    ] = ()
    operator_token: Annotated[
        Annotated[str, msgspec.Meta(min_length=16)] | None,
        documented(
            "Bearer token of operators; must equal the `operator_token` of daemons and "
            "nodes.",
            allowed="at least 16 characters, or null",
        ),
    ] = None
    timeout_s: Annotated[
        float,
        documented(
            "Timeout of a call to a daemon or node.", unit="seconds", ge=0.1, le=120
        ),
    ] = 10.0
