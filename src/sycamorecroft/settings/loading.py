"""Loads settings and checks what single fields can't."""

from collections.abc import Iterable
from ipaddress import IPv4Address, IPv6Address, ip_address
from pathlib import Path
from typing import NamedTuple
from urllib.parse import urlsplit

from sycamorecroft.errors import SettingsError
from sycamorecroft.settings.daemon import DaemonSettings
from sycamorecroft.settings.document import DocumentPlace, convert, read_document
from sycamorecroft.settings.node import NodeSettings
from sycamorecroft.settings.tool import ToolSettings

MAX_PORT = 65535


class SocketAddress(NamedTuple):
    """An IP address and port."""

    ip: IPv4Address | IPv6Address
    port: int


def parse_address(text: str) -> SocketAddress:
    """
    :param text: ``IP:port``, an IPv6 address in brackets.
    :returns: the address.
    :raises ValueError: if ``text`` isn't an IP address with a port from 1 to 65535.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        message = f"{text!r} has no port"
        raise ValueError(message)
    if not 1 <= int(port) <= MAX_PORT:
        message = f"port {port} is not from 1 to {MAX_PORT}"
        raise ValueError(message)
    is_bracketed = host.startswith("[") and host.endswith("]")
    ip = ip_address(host[1:-1] if is_bracketed else host)
    if (ip.version == 6) != is_bracketed:
        message = f"{text!r} must have brackets around an IPv6 address only"
        raise ValueError(message)
    return SocketAddress(ip, int(port))


def load_settings(path: str | Path) -> DaemonSettings:
    """
    :param path: file of the daemon's settings.
    :returns: settings that hold to all rules.
    :raises SettingsError: naming the file, the key's path, the value and the rule.
    """
    place = DocumentPlace(Path(path), "", SettingsError)
    settings = convert(read_document(place.file, SettingsError), DaemonSettings, place)
    _check_addresses(settings, place)
    _check_entries(settings, place)
    _check_limits(settings, place)
    _check_operator_token(settings, place)
    return settings


def load_node_settings(path: str | Path) -> NodeSettings:
    """
    :param path: file of a node's settings.
    :returns: settings that hold to all rules.
    :raises SettingsError: naming the file, the key's path, the value and the rule.
    """
    place = DocumentPlace(Path(path), "", SettingsError)
    settings = convert(read_document(place.file, SettingsError), NodeSettings, place)
    _check_address(settings.front_address, place.at("front_address"))
    _check_address(settings.ready_address, place.at("ready_address"))
    _check_address(settings.metrics_address, place.at("metrics_address"))
    _check_address(settings.store.address, place.at("store").at("address"))
    _check_address(settings.machines.address, place.at("machines").at("address"))
    if settings.advice_address:
        _check_address(settings.advice_address, place.at("advice_address"))
    return settings


def load_tool_settings(path: str | Path) -> ToolSettings:
    """
    :param path: file of the tool's settings.
    :returns: settings that hold to all rules.
    :raises SettingsError: naming the file, the key's path, the value and the rule.
    """
    place = DocumentPlace(Path(path), "", SettingsError)
    settings = convert(read_document(place.file, SettingsError), ToolSettings, place)
    for index, url in enumerate(settings.daemon_urls):
        _check_url(url, place.at(f"daemon_urls[{index}]"))
    return settings


def _check_address(text: str, place: DocumentPlace) -> None:
    try:
        parse_address(text)
    except ValueError as cause:
        raise place.failure(
            text, f"IP:port ({cause})", "write the IP address, not a host name"
        ) from cause


def _check_url(url: str, place: DocumentPlace) -> None:
    try:
        parts = urlsplit(url)
        parse_address(parts.netloc)
    except ValueError as cause:
        raise place.failure(
            url, f"http://IP:port ({cause})", "write the IP address and port"
        ) from cause
    if parts.scheme != "http" or parts.query or parts.fragment:
        raise place.failure(url, "http://IP:port", "correct the URL")


def _check_addresses(settings: DaemonSettings, place: DocumentPlace) -> None:
    _check_address(settings.http_address, place.at("http_address"))
    _check_address(settings.grpc_address, place.at("grpc_address"))
    for index, entry in enumerate(settings.entries):
        _check_address(
            entry.grpc_address, place.at(f"entries[{index}]").at("grpc_address")
        )
    _check_url(settings.platform_url, place.at("platform_url"))
    if settings.http_address == settings.grpc_address:
        raise place.at("grpc_address").failure(
            settings.grpc_address,
            "an address other than http_address",
            "choose another port",
        )


def _check_unique(values: Iterable[str], key: str, place: DocumentPlace) -> None:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            raise (
                place.at(f"entries[{index}]")
                .at(key)
                .failure(
                    value, f"a {key} that no other entry host has", "correct the list"
                )
            )
        seen.add(value)


def _check_entries(settings: DaemonSettings, place: DocumentPlace) -> None:
    _check_unique((entry.name for entry in settings.entries), "name", place)
    _check_unique(
        (entry.grpc_address for entry in settings.entries), "grpc_address", place
    )
    addresses = {entry.name: entry.grpc_address for entry in settings.entries}
    if settings.entry not in addresses:
        raise place.at("entry").failure(
            settings.entry,
            "one of " + ", ".join(addresses),
            "add this entry host to entries or correct the name",
        )
    if addresses[settings.entry] != settings.grpc_address:
        raise place.at("grpc_address").failure(
            settings.grpc_address,
            f"{addresses[settings.entry]}, as in entries",
            "write the same address in both places",
        )


def _check_limits(settings: DaemonSettings, place: DocumentPlace) -> None:
    rules = (
        ("thread_count", "admitted_limit_count", 1),
        ("connection_limit_count", "thread_count", 1),
        ("in_flight_limit_bytes", "body_limit_bytes", 0),
    )
    for key, other, margin in rules:
        value, floor = getattr(settings, key), getattr(settings, other) + margin
        if value < floor:
            raise place.at(key).failure(
                value,
                f">= {floor}, which follows from {other}",
                f"raise {key} or lower {other}",
            )


def _check_operator_token(settings: DaemonSettings, place: DocumentPlace) -> None:
    is_loopback = parse_address(settings.http_address).ip.is_loopback
    if settings.operator_token is None and not is_loopback:
        raise place.at("operator_token").failure(
            None,
            f"a token, since http_address {settings.http_address} is not loopback",
            "set operator_token or listen on a loopback address",
        )
