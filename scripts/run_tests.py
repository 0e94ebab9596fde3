"""Runs pytest and behave; the last line printed is ``N passed, N failed``.

Tests listed in ``KNOWN-RED.txt`` run and their results are printed, but they count
neither as passed nor as failed.
"""

import json
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


class Result(NamedTuple):
    """Outcome of one test; ``name`` has the form used in ``KNOWN-RED.txt``.

    ``messages``: what the failed steps of a scenario reported; pytest prints its own.
    """

    name: str
    has_passed: bool
    messages: tuple[str, ...] = ()


def _known_red() -> frozenset[str]:
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def _run_pytest(report: Path) -> list[Result]:
    command = [sys.executable, "-m", "pytest", f"--junitxml={report}", "--tb=short"]
    status = subprocess.run(command, cwd=ROOT, check=False).returncode
    if not report.exists():
        return [Result(f"pytest (exit status {status})", False)]
    cases = ElementTree.parse(report).iter("testcase")
    results = [_pytest_result(case) for case in cases]
    if status not in (0, 1):
        results.append(Result(f"pytest (exit status {status})", False))
    return results


def _pytest_result(case: ElementTree.Element) -> Result:
    name = f"{case.get('classname')}::{case.get('name')}"
    failed = any(child.tag in ("failure", "error") for child in case)
    return Result(name, not failed)


def _run_behave(report: Path) -> list[Result]:
    if not any((ROOT / "features").glob("*.feature")):
        return []
    command = [
        sys.executable, "-m", "behave", "--no-capture", "--format", "progress",
        "--outfile", "/dev/stdout", "--format", "json", "--outfile", str(report),
        "features",
    ]  # fmt: skip
    status = subprocess.run(command, cwd=ROOT, check=False).returncode
    if not report.exists():
        return [Result(f"behave (exit status {status})", False)]
    results = [
        _behave_result(feature["name"], element)
        for feature in json.loads(report.read_text(encoding="utf-8"))
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    if status != 0 and all(result.has_passed for result in results):
        results.append(Result(f"behave (exit status {status})", False))
    return results


def _behave_result(feature: str, element: dict) -> Result:
    messages = tuple(
        "\n".join([f"step: {step['name']}", *_lines(step["result"]["error_message"])])
        for step in element["steps"]
        if step.get("result", {}).get("error_message")
    )
    # behave ends the names of an outline's rows with a space.
    name = f"{feature}: {element['name']}".rstrip()
    return Result(name, element["status"] == "passed", messages)


def _lines(message: str | list[str]) -> list[str]:
    return [message] if isinstance(message, str) else message


def main() -> int:
    """
    :returns: 0 if every test that is not listed as known red passed, else 1.
    """
    with tempfile.TemporaryDirectory() as folder:
        results = _run_pytest(Path(folder, "pytest.xml"))
        results += _run_behave(Path(folder, "behave.json"))
    known_red = _known_red()
    for result in results:
        if result.name in known_red:
            state = "passes now" if result.has_passed else "fails"
            print(f"known red, not counted: {result.name} ({state})")
            print("\n".join(result.messages))
    counted = [result for result in results if result.name not in known_red]
    failed = [result for result in counted if not result.has_passed]
    for result in failed:
        print(f"FAILED {result.name}")
        print("\n".join(result.messages))
    print(f"{len(counted) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed or not counted else 0


if __name__ == "__main__":
    sys.exit(main())
