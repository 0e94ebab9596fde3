"""Steps of input that is not valid."""

import contextlib
import socket
from datetime import UTC, datetime
from http.client import HTTPConnection

import msgspec
from behave import then, when

from features.steps.common import rating, require, send_one
from features.support.callers import RUN
from features.support.judgement import ledger
from sycamorecroft.configuration.codec import encode_configuration

REQUESTS = "/v1/services/{}/requests"
RATINGS = REQUESTS.format("rating")
OWN = "Sycamorecroft-"

# Method, path, headers and body of each request.
CALLS = {
    "an unknown service": ("POST", REQUESTS.format("paving"), {}, b"x"),
    "an unknown path": ("POST", "/v1/covers", {}, b"x"),
    "a method that is not allowed": ("PUT", RATINGS, {}, b"x"),
    "another account": ("POST", RATINGS, {f"{OWN}Account": "nobody"}, b"x"),
    "an unknown team": ("POST", RATINGS, {f"{OWN}Team": "strangers"}, b"x"),
    "an unknown urgency": ("POST", RATINGS, {f"{OWN}Urgency": "at once"}, b"x"),
    "a negative timeout": ("POST", RATINGS, {f"{OWN}Timeout-Ms": "-5"}, b"x"),
    "a timeout of 30 digits": ("POST", RATINGS, {f"{OWN}Timeout-Ms": "9" * 30}, b"x"),
    "an unknown repeatable value": (
        "POST", RATINGS, {f"{OWN}Repeatable": "perhaps"}, b"x"),
    "a missing idempotency key": ("POST", REQUESTS.format("dispatch"), {}, b"x"),
    "a key that is too long": (
        "POST", REQUESTS.format("dispatch"), {"Idempotency-Key": "x" * 129}, b"x"),
    "a body above the service's limit": (
        "POST", REQUESTS.format("dispatch"), {"Idempotency-Key": "k"}, b"x" * 262145),
    "a body above the daemon's limit": ("POST", RATINGS, {}, b"x" * 8388609),
    "an invalid content length": ("POST", RATINGS, {"Content-Length": "-1"}, b"x"),
    "headers above the limit": ("POST", RATINGS, {"X-Note": "x" * 20000}, b"x"),
}  # fmt: skip


def _deadline():
    return datetime.now(UTC).isoformat()


def _publication(site, **changes):
    content = msgspec.Raw(encode_configuration(site.compile()))
    return {"base_version": 1, "author": "a", "configuration": content, **changes}


def _maintenance(**changes):
    body = {"idempotency_key": "k", "kind": "hosts", "names": ["rating-1"]}
    return {**body, "deadline": _deadline(), **changes}


def _operator_call(site, fault):
    """
    :returns: method, path and body.
    """
    publish = ("PUT", "/v1/operator/configuration")
    declare = ("POST", "/v1/operator/maintenance")
    calls = {
        "text that is no JSON": (*publish, b"{covers"),
        "an unknown key": (*publish, _publication(site, covers=1)),
        "a wrong type": (*publish, _publication(site, base_version="one")),
        "an unknown selection": (*declare, _maintenance(kind="building")),
        "maintenance of an unknown host": (*declare, _maintenance(names=["rating-99"])),
        "the name of an unknown wave": ("GET", "/v1/operator/maintenance/w-77", b""),
        "a base that was not published": (
            *publish,
            _publication(site, base_version=77),
        ),
    }
    method, path, body = calls[fault]
    return method, path, body if isinstance(body, bytes) else msgspec.json.encode(body)


def _call(context, method, path, headers, body):
    context.entry = context.site.entry_hosts[0]
    address = context.site.http_address(context.entry)
    connection = HTTPConnection(address, timeout=20)
    # The daemon may answer before it has read the whole body.
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        connection.request(method, path, body, headers)
    response = connection.getresponse()
    context.status, context.message = response.status, response.read().decode()
    connection.close()


@when("a caller sends a request with {fault}")
def _send_bad(context, fault):
    _call(context, *CALLS[fault])


@when("an operator sends {fault}")
def _operate_badly(context, fault):
    method, path, body = _operator_call(context.site, fault)
    _call(context, method, path, {}, body)


@when("a caller closes its connection in the middle of a body")
def _cut_body(context):
    context.entry = context.site.entry_hosts[0]
    host, _, port = context.site.http_address(context.entry).rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        head = (
            f"POST {RATINGS} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 1000\r\n\r\n"
        )
        connection.sendall(head.encode() + b"half of a body")


@then("the status is {status:d}, and the message names {value} and {allowed}")
def _clear_error(context, status, value, allowed):
    require(context.status == status, (context.status, context.message[:500]))
    missing = [text for text in (value, allowed) if text not in context.message]
    require(not missing, f"not named: {missing} in {context.message[:500]}")


@then("the same daemon serves a rating")
def _goes_on(context):
    sent = send_one(context, rating("after bad input", context.entry))
    require(sent.outcome == RUN, sent)


@then("the cut request is not in the ledger")
def _not_run(context):
    runs = [entry for entry in ledger(context.site) if entry["service"] == "rating"]
    require(len(runs) == 1, runs)
