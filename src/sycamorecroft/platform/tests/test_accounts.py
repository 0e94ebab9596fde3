"""Tests of decoding and checking the client accounts of a configuration."""

import json
import re

import pytest

from sycamorecroft.errors import RecordError
from sycamorecroft.platform import decode_fleet

KEY, OTHER_KEY = "key-of-north-1", "key-of-south-1"
ACCOUNT = {
    "name": "north",
    "keys": [KEY],
    "priority": 1,
    "weight": 84,
    "max-count": {"cpu": 4493519, "mem-mb": 8149503, "gpu": 0},
}
OTHER = ACCOUNT | {"name": "south", "keys": [OTHER_KEY]}
ROUTE = {"name": "r-1", "host": "h", "prefix": "/p/", "service": "s"}


def _encode(accounts, **changes):
    fleet = {"version": 3, "routes": [ROUTE], "services": [{"name": "s"}]}
    return json.dumps(fleet | {"tenants": accounts} | changes).encode()


def _account(**changes):
    return _encode([OTHER, ACCOUNT | changes])


def _without(field):
    account = {name: value for name, value in ACCOUNT.items() if name != field}
    return _encode([OTHER, account])


@pytest.mark.parametrize(
    ("value", "got"),
    [
        (_encode({"north": ACCOUNT}), "tenants must be a list, got an object"),
        (_encode([KEY]), "tenant 0 must be an object, got a text of 14 characters"),
        (_encode([None]), "tenant 0 must be an object, got null"),
        (_without("name"), "name of tenant 1 must be .*, got none"),
        (_account(name=""), "name of tenant 1 must be .*, got a text of 0 characters"),
        (_account(name=" north"), "name of tenant 1 .*, got a text of 6 characters"),
        (_account(name="north\n"), "name of tenant 1 .*, got a text of 6 characters"),
        (_account(name="n" * 201), "1 to 200 bytes .*, got a text of 201 characters"),
        (_account(name=5), "name of tenant 1 must be .*, got the number 5"),
        (_account(name=[KEY]), "name of tenant 1 must be .*, got a list of 1 elements"),
        (_without("keys"), r"keys of tenant 1 \('north'\) must be a list, got none"),
        (_account(keys=KEY), "keys of tenant 1 .* a list, got a text of 14 characters"),
        (_account(keys={KEY: 1}), "keys of tenant 1 .* a list, got an object"),
        (_account(keys=[KEY, ""]), "key 1 of tenant 1 .*, got a text of 0 characters"),
        (_account(keys=[KEY + " "]), "key 0 of tenant 1 .*, got a text of 15 char"),
        (_account(keys=["a\r\nb"]), "key 0 of tenant 1 .*, got a text of 4 characters"),
        (_account(keys=[7]), "key 0 of tenant 1 .*, got the number 7"),
        (_account(keys=[None]), "key 0 of tenant 1 .*, got null"),
        (_account(weight=-0.5), "weight of .* from 0 to .*, got the number -0.5"),
        (_account(weight=1e300), "weight of .* from 0 to .*, got the number 1e.300"),
        (_account(weight="84"), "weight of .* a number .*, got a text of 2 characters"),
        (_account(weight=True), "weight of .* a number .*, got true"),
        (_account(weight=None), "weight of .* a number .*, got null"),
        (_account(priority=1.5), "priority of .* an integer .*, got the number 1.5"),
        (_account(priority="1"), "priority of .* an integer .*, got a text of 1 char"),
        (_account(**{"max-count": 5}), "max-count of .*, got the number 5"),
        (
            _account(**{"max-count": {"cpu": -1}}),
            "max-count of .* integers from 0 to .*, got an object with cpu: the number "
            "-1",
        ),
        (_account(**{"max-count": {"mem-mb": KEY}}), "mem-mb: a text of 14 characters"),
        (_encode([ACCOUNT, ACCOUNT]), "different names, got 'north' for tenants 0 and"),
        (
            _encode([ACCOUNT, OTHER | {"keys": [OTHER_KEY, KEY]}]),
            "a key must belong to one tenant, got the same key for 'north' and 'south'",
        ),
    ],
)
def test_malformed_accounts_are_refused_and_named_without_a_key(value, got):
    """Guards against accounts that are decoded by halves, errors that don't say what is
    wrong, and keys in the log.
    """
    with pytest.raises(RecordError) as caught:
        decode_fleet(value)
    message = str(caught.value)
    assert re.search(got, message), message
    error = caught.value
    while error is not None:
        assert KEY not in repr(error)
        assert OTHER_KEY not in repr(error)
        error = error.__cause__ or error.__context__


@pytest.mark.parametrize("weight", [b"NaN", b"Infinity", b"-Infinity", b"1e999"])
def test_weight_that_is_no_number_is_refused(weight):
    """Guards against a weight that makes each comparison of shares false."""
    value = _account(weight=84).replace(b'"weight": 84', b'"weight": ' + weight)
    with pytest.raises(RecordError) as caught:
        decode_fleet(value)
    assert KEY not in str(caught.value)


def test_key_that_is_no_unicode_text_is_refused_without_its_text():
    """Guards against an error of the decoder that quotes the text around it."""
    value = _account().replace(KEY.encode(), KEY.encode() + b"\\ud800")
    with pytest.raises(RecordError) as caught:
        decode_fleet(value)
    assert KEY not in str(caught.value)
    with pytest.raises(RecordError) as caught:
        decode_fleet(_account().replace(KEY.encode(), KEY.encode() + b"\xff"))
    assert KEY not in str(caught.value)


def test_fields_that_are_left_out_have_defaults():
    """Guards against a configuration that is refused for what it needn't say."""
    (account,) = decode_fleet(_encode([{"name": "n", "keys": []}])).accounts
    assert (account.weight, account.priority, account.limit) == (1.0, 0, (0, 0, 0))
    assert account.key_digests == frozenset()


def test_same_key_twice_in_one_account_is_one_key():
    """Guards against a rotation of keys that is refused for a harmless repetition."""
    (account,) = decode_fleet(_encode([ACCOUNT | {"keys": [KEY, KEY]}])).accounts
    assert len(account.key_digests) == 1


@pytest.mark.parametrize("accounts", [None, "left out"])
def test_no_list_of_accounts_differs_from_an_empty_one(accounts):
    """Guards against a site that opens when its last account is removed."""
    fleet = {"version": 3, "routes": [], "services": []}
    if accounts is None:
        fleet["tenants"] = None
    assert decode_fleet(json.dumps(fleet).encode()).accounts is None
    assert decode_fleet(json.dumps(fleet | {"tenants": []}).encode()).accounts == ()


@pytest.mark.parametrize("public", ["false", 0, 1, [], {}])
def test_public_must_be_true_or_false(public):
    """Guards against a private queue that opens since a text counts as true."""
    with pytest.raises(RecordError, match="public of route 'r-1'"):
        decode_fleet(_encode([ACCOUNT], routes=[ROUTE | {"public": public}]))


def test_queue_is_public_only_if_each_of_its_routes_is():
    """Guards against a private route that opens with another one of its name."""
    routes = [ROUTE | {"public": True}, ROUTE | {"prefix": "/q/", "public": False}]
    assert not decode_fleet(_encode([ACCOUNT], routes=routes)).public_queues
    routes = [ROUTE | {"public": True}, ROUTE | {"name": "r-2", "public": None}]
    assert decode_fleet(_encode([ACCOUNT], routes=routes)).public_queues == {"r-1"}
