"""Decoding of configurations with arbitrary client accounts."""

import json
import math
import traceback

from hypothesis import event, given, seed, settings, strategies as st

from properties.seeds import SEED
from sycamorecroft.errors import RecordError
from sycamorecroft.platform import decode_fleet
from sycamorecroft.platform.api_keys import key_digest
from sycamorecroft.serving.account_keys import AccountKeys

# Part of each key, and of no other text.
SECRET = "secret"

names = st.text(max_size=5).filter(lambda text: SECRET not in text)
keys = st.builds(f"{{}}{SECRET}{{}}".format, names, names)
numbers = st.integers() | st.floats() | st.integers(-2, 2)
leaves = st.none() | st.booleans() | numbers | names | keys
values = st.recursive(
    leaves,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(names | keys, inner, max_size=4)
    ),
    max_leaves=12,
)
limits = st.dictionaries(
    st.sampled_from(["cpu", "mem-mb", "gpu"]) | keys, st.integers(0, 10**6)
)
valid_keys = st.sampled_from([f"{letter}-{SECRET}" for letter in "abcdefgh"])


def _mostly(valid, other=values):
    """Returns a strategy of which nine of ten values are valid."""
    return st.integers(0, 9).flatmap(lambda number: valid if number else other)


accounts = st.fixed_dictionaries(
    {
        # A name is shown, so that no key is put in its place.
        "name": _mostly(st.sampled_from("nopqrst"), names | numbers),
        "keys": _mostly(st.lists(_mostly(valid_keys), max_size=3)),
    },
    optional={
        "weight": _mostly(st.floats(0, 1000)),
        "priority": _mostly(st.integers(-5, 5)),
        "max-count": _mostly(st.none() | limits),
        "unknown": values,
    },
)
tenants = _mostly(st.lists(_mostly(accounts), max_size=4))


def _decode(wire):
    fleet = {"version": 1, "routes": [], "services": [], "tenants": wire}
    return decode_fleet(json.dumps(fleet).encode()).accounts


def _check_accounts(wire, found):
    """Checks that the accounts hold what the configuration says, and are usable."""
    assert [account.name for account in found] == [item["name"] for item in wire]
    index = AccountKeys(found)
    for account, item in zip(found, wire, strict=True):
        digests = {key_digest(key.encode()) for key in item["keys"]}
        assert account.key_digests == digests
        assert {index.find(digest) for digest in digests} <= {account.name}
        assert account.weight >= 0
        assert math.isfinite(account.weight)
        assert min(account.limit) >= 0
    assert len(index) == sum(len(account.key_digests) for account in found)


@seed(SEED)
@settings(max_examples=1500, deadline=None, database=None)
@given(wire=tenants)
def test_accounts_are_decoded_or_refused_without_a_key(wire):
    """Guards against accounts in force that are not what was published, errors that the
    caller of the decoder doesn't expect, and keys in the log.
    """
    try:
        found = _decode(wire)
    except RecordError as error:
        event("refused")
        assert SECRET not in "".join(traceback.format_exception(error))
    else:
        event("no accounts" if found is None else "accounts")
        if found is None:
            assert wire is None
        else:
            _check_accounts(wire, found)
