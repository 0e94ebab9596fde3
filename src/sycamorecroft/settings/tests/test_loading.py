import json
import re
from pathlib import Path

import pytest

from sycamorecroft.errors import SettingsError
from sycamorecroft.settings import (
    load_node_settings,
    load_settings,
    load_tool_settings,
    parse_address,
)
from sycamorecroft.settings.reference import reference_text

ROOT = Path(__file__).parents[4]
ENTRIES = [{"name": f"entry-{n}", "grpc_address": f"127.0.0.1:{n}"} for n in (1, 2)]
VALID = {
    "entry": "entry-1",
    "data_centre": "ondangwa",
    "http_address": "127.0.0.1:80",
    "grpc_address": "127.0.0.1:1",
    "entries": ENTRIES,
    "platform_url": "http://127.0.0.1:90",
}

# For each case: changed keys, and the path and the rule that the message must name.
INVALID_SETTINGS = {
    "unknown key": ({"thread_counts": 9}, "thread_counts", "did you mean"),
    "wrong type": ({"thread_count": "9"}, "thread_count", "Expected `int`"),
    "out of range": ({"poll_interval_s": 30}, "poll_interval_s", "<= 2.0"),
    "unknown level": ({"log_level": "all"}, "log_level", "Invalid enum value"),
    "missing key": ({"entry": None, "drop": "entry"}, "entry", "required"),
    "host name": ({"http_address": "localhost:80"}, "http_address", "IP:port"),
    "no port": ({"grpc_address": "127.0.0.1"}, "grpc_address", "IP:port"),
    "port 0": ({"grpc_address": "127.0.0.1:0"}, "grpc_address", "1 to 65535"),
    "same address": ({"http_address": "127.0.0.1:1"}, "grpc_address", "other than"),
    "not listed": ({"entry": "entry-9"}, "entry", "entry-1, entry-2"),
    "differs": ({"grpc_address": "127.0.0.1:7"}, "grpc_address", "127.0.0.1:1,"),
    "listed twice": ({"entries": ENTRIES * 2}, "entries[2].name", "no other"),
    "few threads": ({"thread_count": 400}, "thread_count", ">= 401"),
    "few connections": (
        {"connection_limit_count": 512},
        "connection_limit_count",
        ">= 513",
    ),
    "small budget": (
        {"in_flight_limit_bytes": 2048},
        "in_flight_limit_bytes",
        ">= 8388608",
    ),
    "no token": ({"http_address": "10.0.0.1:80"}, "operator_token", "not loopback"),
    "https": ({"platform_url": "https://127.0.0.1:90"}, "platform_url", "http://IP"),
    "entry key": (
        {"entries": [{**ENTRIES[0], "port": 1}]},
        "entries[0].port",
        "documented",
    ),
}


def _write(tmp_path, changes):
    dropped_key = changes.get("drop")
    document = {**VALID, **{key: changes[key] for key in changes if key != "drop"}}
    document.pop(dropped_key, None)
    path = tmp_path / "daemon.jsonc"
    path.write_text("// settings\n" + json.dumps(document), encoding="utf-8")
    return path


@pytest.mark.parametrize("case", INVALID_SETTINGS)
def test_invalid_setting_is_rejected_with_path_and_rule(tmp_path, case):
    """Guards against a daemon that starts with an invalid value and fails later, and
    against messages that don't name the path and the rule.
    """
    changes, key, allowed = INVALID_SETTINGS[case]
    path = _write(tmp_path, changes)
    with pytest.raises(SettingsError) as error_info:
        load_settings(path)
    assert str(error_info.value).startswith(f"{path}: {key}: got ")
    assert allowed in str(error_info.value)


@pytest.mark.parametrize(
    "text", ["", "{", '{"entry": 1, "entry": 2}', '{"poll_interval_s": NaN}']
)
def test_malformed_file_is_rejected(tmp_path, text):
    """Guards against malformed files whose content is silently ignored in part."""
    path = tmp_path / "daemon.jsonc"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(SettingsError, match=re.escape(str(path))):
        load_settings(path)


def test_missing_file_is_rejected(tmp_path):
    """Guards against a daemon that starts without its settings file."""
    with pytest.raises(SettingsError, match="can't be read"):
        load_settings(tmp_path / "absent.jsonc")


def test_error_message_hides_the_token(tmp_path):
    """Guards against tokens in log lines."""
    with pytest.raises(SettingsError, match="operator_token") as error_info:
        load_settings(_write(tmp_path, {"operator_token": "s3cret"}))
    assert "s3cret" not in str(error_info.value)


def test_token_allows_listening_beyond_loopback(tmp_path):
    """Guards against rejecting a public address that is protected by a token."""
    changes = {"http_address": "[2001:db8::1]:80", "operator_token": "0123456789abcdef"}
    settings = load_settings(_write(tmp_path, changes))
    assert str(parse_address(settings.http_address).ip) == "2001:db8::1"
    assert settings.operator_token not in repr(settings)


def test_tool_settings_reject_host_names(tmp_path):
    """Guards against daemon URLs that need name resolution."""
    path = tmp_path / "tool.jsonc"
    path.write_text('{"daemon_urls": ["http://daemon:80"]}', encoding="utf-8")
    with pytest.raises(SettingsError, match=re.escape("daemon_urls[0]")):
        load_tool_settings(path)


def _write_tool_settings(tmp_path, document):
    path = tmp_path / "tool.jsonc"
    path.write_text(json.dumps(document), encoding="utf-8")
    return path


def test_tool_needs_the_url_of_a_daemon_or_node(tmp_path):
    """Guards against a tool that has nobody to ask and doesn't say so."""
    with pytest.raises(SettingsError, match="node_urls"):
        load_tool_settings(_write_tool_settings(tmp_path, {}))
    urls = ["http://127.0.0.1:9464"]
    path = _write_tool_settings(tmp_path, {"node_urls": urls})
    assert load_tool_settings(path).node_urls == tuple(urls)
    path = _write_tool_settings(tmp_path, {"node_urls": ["http://node:9464"]})
    with pytest.raises(SettingsError, match=re.escape("node_urls[0]")):
        load_tool_settings(path)


NODE = {
    "host": "h1",
    "data_centre": "dc1",
    "front_address": "127.0.0.1:1",
    "ready_address": "127.0.0.1:2",
    "metrics_address": "127.0.0.1:3",
    "store": {"address": "127.0.0.1:4", "row_limit_bytes": 65536},
    "machines": {"address": "127.0.0.1:5", "lease_ms": 3000},
    "bounds": {"grace_s": 6, "lease_max_ms": 10000, "status_s": 120, "upkeep_s": 2},
}


def test_node_has_no_operator_token_by_default_and_never_shows_one(tmp_path):
    """Guards against an interface that is open by default, and tokens in log lines."""
    path = tmp_path / "node.jsonc"
    path.write_text(json.dumps(NODE), encoding="utf-8")
    assert load_node_settings(path).operator_token is None
    token = "0123456789abcdef"
    path.write_text(json.dumps(NODE | {"operator_token": token}), encoding="utf-8")
    settings = load_node_settings(path)
    assert settings.operator_token == token
    assert token not in repr(settings)
    path.write_text(json.dumps(NODE | {"operator_token": "s3cret"}), encoding="utf-8")
    with pytest.raises(SettingsError, match="operator_token") as error_info:
        load_node_settings(path)
    assert "s3cret" not in str(error_info.value)


@pytest.mark.parametrize("sections", [(), ("bounds.remote-factor",), ("advice",)])
def test_node_template_is_valid_with_and_without_optional_parts(tmp_path, sections):
    """Guards against settings that the node refuses where the platform leaves some out.

    A section of the template is left out if the platform has no value for it.
    """
    text = (ROOT / "deploy" / "node.jsonc").read_text(encoding="utf-8")
    text = re.sub(
        r"{{#(.+?)}}(.*?){{/\1}}",
        lambda match: match[2] if match[1] in sections else "",
        text,
    )
    text = text.replace("{{ip}}", "127.0.0.1")
    strings = ("node-name", "zone", "listen.front", "listen.ready", "platform.addr")
    for name in (*strings, "cloud.addr", "advice"):
        text = text.replace(f"{{{{{name}|json}}}}", '"127.0.0.1:80"')
    path = tmp_path / "node.jsonc"
    path.write_text(re.sub(r"{{[^}]+\|json}}", "2048", text), encoding="utf-8")
    placement = load_node_settings(path).placement
    assert placement.is_preemption_enabled
    assert placement.remote_slowdown_ratio == (
        2048 if "bounds.remote-factor" in sections else 1
    )


def test_settings_page_is_current():
    """Guards against a settings page that differs from the checks."""
    page = (ROOT / "docs" / "settings.md").read_text(encoding="utf-8")
    assert page == reference_text(), "run python -m sycamorecroft.settings.reference"
