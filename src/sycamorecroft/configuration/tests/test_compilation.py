import copy
import json
from pathlib import Path

import jsonc
import pytest

from sycamorecroft.configuration import (
    compile_configuration,
    decode_configuration,
    encode_configuration,
    load_inventory,
    load_parameters,
    load_template,
)
from sycamorecroft.configuration.codec import digest_of
from sycamorecroft.errors import ConfigurationError

SITE = Path(__file__).parents[4] / "deployments" / "ondangwa"
TEMPLATE = jsonc.loads((SITE / "template.jsonc").read_text(encoding="utf-8"))
PARAMETERS = jsonc.loads(
    (SITE / "street-safety-trust.jsonc").read_text(encoding="utf-8")
)
RATING = "${name_prefix}rating"


def _write(folder, name, document):
    path = folder / name
    path.write_text(json.dumps(document), encoding="utf-8")
    return path


def _compile(folder, template, *parameters):
    files = [
        load_parameters(_write(folder, f"account-{index}.jsonc", document))
        for index, document in enumerate(parameters)
    ]
    return compile_configuration(
        load_template(_write(folder, "template.jsonc", template)),
        files,
        1,
        load_inventory(SITE / "hosts.json"),
    )


def _set_at(document, path, value):
    *steps, last = path
    for step in steps:
        document = document[step]
    document[last] = value


# For each case: path and new value in the template, and text that the message contains.
INVALID_TEMPLATES = {
    "unknown pool": (("services", RATING, "pool"), "lids", "services.rating.pool"),
    "shared pool": (("services", RATING, "pool"), "hotline", "its own pool"),
    "ratio above 1": (("pools", RATING, "max_unavailable_ratio"), 1.5, "<= 1.0"),
    "no hosts": (("pools", RATING, "hosts_count"), 0, ">= 1"),
    "too many hosts": (("pools", RATING, "hosts_count"), 41, "at most 40"),
    "last pool too many": (("pools", RATING, "hosts_count"), 9, "at most 7"),
    "two spare pools": (("pools", RATING, "is_spare"), True, "backoffice.is_spare"),
    "unknown key": (("pools", RATING, "host_count"), 8, "pools.rating.host_count"),
    "bad urgency": (("services", RATING, "default_urgency"), "now", "Invalid enum"),
    "bad status": (("services", RATING, "refusal_statuses"), [200], ">= 400"),
    "bad name": (("pools", "Rating!"), {"hosts_count": 1}, "matching regex"),
    "undeclared reference": (("availability_ratio",), "${ratio}", "declare 'ratio'"),
    "other data centre": (("data_centres",), ["windhoek"], "at most 0"),
    "repeated data centre": (("data_centres",), ["outapi"] * 2, "each data centre"),
    "no services": (("services",), {}, "at least one"),
}


@pytest.mark.parametrize("case", INVALID_TEMPLATES)
def test_invalid_template_is_rejected(tmp_path, case):
    """Guards against a template that compiles into an unusable fleet configuration, and
    against messages that don't name the location.
    """
    path, value, expected = INVALID_TEMPLATES[case]
    template = copy.deepcopy(TEMPLATE)
    parameters = copy.deepcopy(PARAMETERS)
    if path[0] in template["parameters"]:
        del template["parameters"][path[0]]
        del parameters["parameters"][path[0]]
    _set_at(template["body"], path, value)
    with pytest.raises(ConfigurationError) as error_info:
        _compile(tmp_path, template, parameters)
    assert str(error_info.value).startswith(f"{tmp_path / 'template.jsonc'}: body")
    assert expected in str(error_info.value)


INVALID_DECLARATIONS = {
    "unused": ("unused", {"type": "text", "description": ""}, "the body uses"),
    "unknown type": ("teams", {"type": "team", "description": ""}, "Invalid enum"),
    "bad default": (
        "spare_hosts",
        {"type": "integer", "description": "", "default": 0, "minimum": 1},
        "parameters.spare_hosts.default",
    ),
    "bad name": ("Spare", {"type": "text", "description": ""}, "matching regex"),
}


@pytest.mark.parametrize("case", INVALID_DECLARATIONS)
def test_invalid_declaration_is_rejected(tmp_path, case):
    """Guards against invalid parameter declarations that pass unnoticed."""
    name, declaration, expected = INVALID_DECLARATIONS[case]
    template = copy.deepcopy(TEMPLATE)
    template["parameters"][name] = declaration
    with pytest.raises(ConfigurationError) as error_info:
        _compile(tmp_path, template, PARAMETERS)
    assert expected in str(error_info.value)


INVALID_PARAMETERS = {
    "undeclared": ({"lids": 1}, "parameters.lids: got 1"),
    "wrong type": ({"spare_hosts": "8"}, "parameters.spare_hosts: got '8'"),
    "fraction of a host": ({"spare_hosts": 1.5}, "Expected `int`"),
    "out of range": ({"max_unavailable_ratio": 0.6}, "from 0.01 to 0.5"),
    "bad team": ({"teams": {"a": {"weight": 0}}}, "parameters.teams"),
    "missing": ({"teams": None}, "there is no default"),
}


@pytest.mark.parametrize("case", INVALID_PARAMETERS)
def test_invalid_parameter_is_rejected(tmp_path, case):
    """Guards against parameter values that violate their declaration."""
    changes, expected = INVALID_PARAMETERS[case]
    parameters = copy.deepcopy(PARAMETERS)
    parameters["parameters"].update(changes)
    if case == "missing":
        del parameters["parameters"]["teams"]
    with pytest.raises(ConfigurationError) as error_info:
        _compile(tmp_path, TEMPLATE, parameters)
    assert str(error_info.value).startswith(
        f"{tmp_path / 'account-0.jsonc'}: parameters"
    )
    assert expected in str(error_info.value)


def _second_account(**parameters):
    second = copy.deepcopy(PARAMETERS)
    second["account"] = "rundu-street-safety"
    second["parameters"].update(parameters)
    return second


def test_accounts_can_not_share_names_or_hosts(tmp_path):
    """Guards against accounts that overwrite each other's pools or share hosts."""
    small = {"hosts_per_service": 4, "spare_hosts": 4}
    first = copy.deepcopy(PARAMETERS)
    first["parameters"].update(small)
    with pytest.raises(ConfigurationError, match="no other account"):
        _compile(tmp_path, TEMPLATE, first, _second_account(**small))
    with pytest.raises(ConfigurationError, match="no other file"):
        _compile(tmp_path, TEMPLATE, first, first)
    with pytest.raises(ConfigurationError, match="at most 20"):
        _compile(
            tmp_path,
            TEMPLATE,
            first,
            _second_account(name_prefix="rundu-", hosts_per_service=21),
        )
    combined = _compile(
        tmp_path, TEMPLATE, first, _second_account(name_prefix="rundu-", **small)
    )
    assert combined.services["rundu-rating"].pool == "rundu-rating"
    assert combined.pools["rundu-rating"].account == "rundu-street-safety"


def test_template_for_another_fleet_is_rejected(tmp_path):
    """Guards against parameters compiled with the template of another fleet."""
    with pytest.raises(ConfigurationError, match="fleet: got 'engraving'"):
        _compile(tmp_path, TEMPLATE, {**PARAMETERS, "fleet": "engraving"})


def test_configuration_round_trips_through_json(tmp_path):
    """Guards against values lost in the encoding for rows and snapshots."""
    configuration = _compile(tmp_path, TEMPLATE, PARAMETERS)
    text = encode_configuration(configuration)
    assert decode_configuration(text) == configuration
    assert digest_of(configuration) == digest_of(configuration._replace(version=7))


def test_unknown_fields_are_ignored_and_malformed_json_is_rejected(tmp_path):
    """Guards against daemons that can't read rows written by the next release."""
    configuration = _compile(tmp_path, TEMPLATE, PARAMETERS)
    document = json.loads(encode_configuration(configuration))
    document["pools"]["rating"]["colour"] = "red"
    assert decode_configuration(json.dumps(document).encode()) == configuration
    del document["pools"]["rating"]["hosts_count"]
    for text in (json.dumps(document).encode(), b"[]", b"{", b"null"):
        with pytest.raises(ConfigurationError, match="can't be decoded"):
            decode_configuration(text)
