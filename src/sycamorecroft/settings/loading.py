"""Loads settings and checks rules that span several fields."""

from collections.abc import Iterable
from ipaddress import IPv4Address, IPv6Address, ip_address
from pathlib import Path
from typing import NamedTuple
from urllib.parse import urlsplit

from sycamorecroft.errors import SettingsError
from sycamorecroft.settings.daemon import DaemonSettings
from sycamorecroft.settings.document import DocumentLocation, convert, read_document
from sycamorecroft.settings.node import NodeSettings
from sycamorecroft.settings.tool import ToolSettings

MAX_PORT = 65535


class SocketAddress(NamedTuple):
    """An IP address and a port."""

    ip: IPv4Address | IPv6Address
    port: int


def parse_address(text: str) -> SocketAddress:
    """
    :param text: ``IP:port``, with an IPv6 address in brackets.
    :returns: the address.
    :raises ValueError: if ``text`` isn't an IP address with a port from 1 to 65535.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        message = f"{text!r} has no numeric port"
        raise ValueError(message)
    if not 1 <= int(port) <= MAX_PORT:
        message = f"port {port} is not in the range 1 to {MAX_PORT}"
        raise ValueError(message)
    is_bracketed = host.startswith("[") and host.endswith("]")
    ip = ip_address(host[1:-1] if is_bracketed else host)
    if (ip.version == 6) != is_bracketed:
        message = f"{text!r} must have brackets if, and only if, the address is IPv6"
        raise ValueError(message)
    return SocketAddress(ip, int(port))


def load_settings(path: str | Path) -> DaemonSettings:
    """
    :param path: settings file of the daemon.
    :returns: validated settings.
    :raises SettingsError: if the file is not valid; the message names the file, the
        path of the key, the value and the rule.
    """
    location = DocumentLocation(Path(path), "", SettingsError)
    settings = convert(
        read_document(location.file, SettingsError), DaemonSettings, location
    )
    _check_addresses(settings, location)
    _check_entries(settings, location)
    _check_limits(settings, location)
    _check_operator_token(settings, location)
    return settings


def load_node_settings(path: str | Path) -> NodeSettings:
    """
    :param path: settings file of the node.
    :returns: validated settings.
    :raises SettingsError: if the file is not valid; the message names the file, the
        path of the key, the value and the rule.
    """
    location = DocumentLocation(Path(path), "", SettingsError)
    settings = convert(
        read_document(location.file, SettingsError), NodeSettings, location
    )
    _check_address(settings.front_address, location.at("front_address"))
    _check_address(settings.ready_address, location.at("ready_address"))
    _check_address(settings.metrics_address, location.at("metrics_address"))
    _check_address(settings.store.address, location.at("store").at("address"))
    _check_address(settings.machines.address, location.at("machines").at("address"))
    if settings.advice_address:
        _check_address(settings.advice_address, location.at("advice_address"))
    return settings


def load_tool_settings(path: str | Path) -> ToolSettings:
    """
    :param path: settings file of the command-line tool.
    :returns: validated settings.
    :raises SettingsError: if the file is not valid; the message names the file, the
        path of the key, the value and the rule.
    """
    location = DocumentLocation(Path(path), "", SettingsError)
    settings = convert(
        read_document(location.file, SettingsError), ToolSettings, location
    )
    for key in ("daemon_urls", "node_urls"):
        for index, url in enumerate(getattr(settings, key)):
            _check_url(url, location.at(f"{key}[{index}]"))
    if not (settings.daemon_urls or settings.node_urls):
        raise location.at("daemon_urls").invalid_value(
            (), "an entry here or in node_urls", "add the URL of a daemon or node"
        )
    return settings


def _check_address(text: str, location: DocumentLocation) -> None:
    try:
        parse_address(text)
    except ValueError as cause:
        raise location.invalid_value(
            text, f"IP:port ({cause})", "specify an IP address, not a host name"
        ) from cause


def _check_url(url: str, location: DocumentLocation) -> None:
    try:
        parts = urlsplit(url)
        parse_address(parts.netloc)
    except ValueError as cause:
        raise location.invalid_value(
            url, f"http://IP:port ({cause})", "specify the IP address and port"
        ) from cause
    if parts.scheme != "http" or parts.query or parts.fragment:
        raise location.invalid_value(url, "http://IP:port", "correct the URL")


def _check_addresses(settings: DaemonSettings, location: DocumentLocation) -> None:
    _check_address(settings.http_address, location.at("http_address"))
    _check_address(settings.grpc_address, location.at("grpc_address"))
    for index, entry in enumerate(settings.entries):
        _check_address(
            entry.grpc_address, location.at(f"entries[{index}]").at("grpc_address")
        )
    _check_url(settings.platform_url, location.at("platform_url"))
    if settings.http_address == settings.grpc_address:
        raise location.at("grpc_address").invalid_value(
            settings.grpc_address,
            "an address other than http_address",
            "choose another port",
        )


def _check_unique(values: Iterable[str], key: str, location: DocumentLocation) -> None:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            raise (
                location.at(f"entries[{index}]")
                .at(key)
                .invalid_value(
                    value,
                    f"a {key} that no other entry host has",
                    "remove the duplicate",
                )
            )
        seen.add(value)


def _check_entries(settings: DaemonSettings, location: DocumentLocation) -> None:
    _check_unique((entry.name for entry in settings.entries), "name", location)
    _check_unique(
        (entry.grpc_address for entry in settings.entries), "grpc_address", location
    )
    addresses = {entry.name: entry.grpc_address for entry in settings.entries}
    if settings.entry not in addresses:
        raise location.at("entry").invalid_value(
            settings.entry,
            "one of " + ", ".join(addresses),
            "add this entry host to entries or correct the name",
        )
    if addresses[settings.entry] != settings.grpc_address:
        raise location.at("grpc_address").invalid_value(
            settings.grpc_address,
            f"{addresses[settings.entry]}, as in entries",
            "set both to the same address",
        )


def _check_limits(settings: DaemonSettings, location: DocumentLocation) -> None:
    rules = (
        ("thread_count", "admitted_limit_count", 1),
        ("connection_limit_count", "thread_count", 1),
        ("in_flight_limit_bytes", "body_limit_bytes", 0),
    )
    for key, other, margin in rules:
        value, minimum = getattr(settings, key), getattr(settings, other) + margin
        if value < minimum:
            raise location.at(key).invalid_value(
                value,
                f">= {minimum}, derived from {other}",
                f"raise {key} or lower {other}",
            )


def _check_operator_token(settings: DaemonSettings, location: DocumentLocation) -> None:
    is_loopback = parse_address(settings.http_address).ip.is_loopback
    if settings.operator_token is None and not is_loopback:
        raise location.at("operator_token").invalid_value(
            None,
            f"a token, since http_address {settings.http_address} is not loopback",
            "set operator_token or listen on a loopback address",
        )
