"""Tests of the comparison of scores of the regression set."""

import json

from scripts.play_regression import compare, read_journal, read_score


def _entry(entry_id, worth, **day):
    return {
        "id": entry_id,
        "cmd": "score",
        "site": "a",
        "score": 0.5,
        "days": [{"name": "scale-1", "G": worth, "rules": {}, "gate": True} | day],
    }


def test_change_of_each_day_is_shown():
    """Guards against a day that falls while the score of the site rises."""
    lines = compare(read_score(_entry("2", 0.4)), read_score(_entry("1", 0.5)))
    assert "1 days judged, 0 rules broken" in lines[0]
    assert lines[1] == "  scale-1: worth 0.400, -0.100, passed"


def test_broken_rules_and_missing_results_are_shown():
    """Guards against a day without a result, or with a broken rule, that looks fine."""
    broken = read_score(_entry("2", 0.0, rules={"LOST": 2}, gate=False))
    assert compare(broken, None)[1] == (
        "  scale-1: worth 0.000, missed the gate, broke LOST"
    )
    missing = read_score(_entry("2", None, gate=False))
    assert "no result" in compare(missing, None)[1]


def test_only_scores_are_read(tmp_path):
    """Guards against hunts and single plays that are compared with scores."""
    (tmp_path / "1.json").write_text(json.dumps(_entry("1", 0.5)))
    (tmp_path / "2.json").write_text(json.dumps({"id": "2", "cmd": "hunt"}))
    assert list(read_journal(tmp_path)) == ["1"]
