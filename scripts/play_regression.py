"""Plays the regression set on the users' bench and compares it with an earlier score.

Usage: ``scripts/play_regression.py BENCH SITE... --why TEXT [--jobs N]
[--baseline ID...]``

BENCH is the path of the bench, SITE that of a site file. The sites are scored one after
another; each score leaves an entry in ``journal/``. A baseline is the id of a journal
entry of the same site, played on the same kind of machine: scores of different machines
can't be compared. The exit status is 1 if a day broke a rule or missed the gate.
"""

import argparse
import json
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"


class Day(NamedTuple):
    """A played day; ``worth`` is ``None`` if the play gave no result."""

    name: str
    worth: float | None
    broken_rules: tuple[str, ...]
    has_passed: bool


class Score(NamedTuple):
    """A journal entry of a score."""

    entry_id: str
    site: str
    score: float | None
    days: tuple[Day, ...]


def read_score(entry: Mapping) -> Score:
    """
    :param entry: decoded journal entry of a score.
    :returns: its result.
    """
    days = tuple(
        Day(
            day["name"],
            day.get("G"),
            tuple(sorted(day.get("rules") or ())),
            bool(day.get("gate")),
        )
        for day in entry.get("days") or ()
    )
    return Score(entry["id"], entry.get("site", ""), entry.get("score"), days)


def read_journal(folder: Path) -> dict[str, Score]:
    """
    :returns: all scores of a journal by their ids, the oldest first.
    """
    entries = (json.loads(path.read_text()) for path in sorted(folder.glob("*.json")))
    scores = (read_score(entry) for entry in entries if entry.get("cmd") == "score")
    return {score.entry_id: score for score in scores}


def compare(score: Score, baseline: Score | None) -> list[str]:
    """
    :returns: a line for the site and one for each day, with the change of its worth.
    """
    former = {day.name: day.worth for day in baseline.days} if baseline else {}
    broken_count = sum(len(day.broken_rules) for day in score.days)
    lines = [
        f"{score.site}: score {score.score}, {len(score.days)} days judged, "
        f"{broken_count} rules broken (entry {score.entry_id})"
    ]
    for day in score.days:
        change = ""
        if day.worth is not None and former.get(day.name) is not None:
            change = f", {day.worth - former[day.name]:+.3f}"
        worth = "no result" if day.worth is None else f"worth {day.worth:.3f}"
        gate = "passed" if day.has_passed else "missed the gate"
        rules = f", broke {', '.join(day.broken_rules)}" if day.broken_rules else ""
        lines.append(f"  {day.name}: {worth}{change}, {gate}{rules}")
    return lines


def _play(bench: str, site: str, jobs_count: int, why: str) -> Score | None:
    """Returns ``None`` if the bench left no new entry."""
    before = read_journal(JOURNAL)
    command = [bench, "score", site, "--jobs", str(jobs_count), "--why", why]
    subprocess.run(command, cwd=ROOT, check=False)
    new = [s for name, s in read_journal(JOURNAL).items() if name not in before]
    return new[-1] if new else None


def main(arguments: Sequence[str]) -> int:
    """
    :returns: exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--why", required=True)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--baseline", nargs="*", default=[])
    options = parser.parse_args(arguments)
    baselines = {
        score.site: score
        for name, score in read_journal(JOURNAL).items()
        if name in options.baseline
    }
    has_passed = True
    for site in options.sites:
        score = _play(options.bench, site, options.jobs, options.why)
        if score is None:
            print(f"{site}: the bench left no journal entry", file=sys.stderr)
            has_passed = False
            continue
        print("\n".join(compare(score, baselines.get(score.site))))
        has_passed &= all(day.has_passed for day in score.days)
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
