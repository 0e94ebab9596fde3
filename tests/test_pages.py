"""Tests that the pages in docs/ are reachable and show commands that exist."""

import re
import shlex

import pytest

from standins.site import ROOT
from sycamorecroft.cli.exit_codes import ExitCode
from sycamorecroft.cli.main import create_app

DOCS = ROOT / "docs"
PAGES = sorted(DOCS.rglob("*.md"))
COMMAND = re.compile(r"^(?:\$|   ) sycamorecroft (.+)$", re.MULTILINE)
LINK = re.compile(r"\]\(([^)#:]+\.md)\)")


def test_every_page_is_reached_from_the_first_one():
    """Guards against pages that a reader can't find."""
    reached = {DOCS / "README.md"}
    waiting = list(reached)
    while waiting:
        page = waiting.pop()
        for target in LINK.findall(page.read_text(encoding="utf-8")):
            linked = (page.parent / target).resolve()
            assert linked.is_file(), f"{page} links {target}"
            if linked not in reached:
                reached.add(linked)
                waiting.append(linked)
    assert set(PAGES) <= reached


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_shown_commands_are_those_of_the_tool(page):
    """Guards against pages that lag behind the tool."""
    app = create_app()
    for line in COMMAND.findall(page.read_text(encoding="utf-8")):
        tokens = shlex.split(line)
        if "TIME" in tokens:
            tokens[tokens.index("TIME")] = "2026-12-31T18:00+02:00"
        if "VERSION" in tokens:
            tokens[tokens.index("VERSION")] = "1"
        app.parse_args(tokens, exit_on_error=False, print_error=False)


def test_exit_codes_are_all_on_the_page():
    """Guards against an exit code that a program meets without its meaning."""
    text = (DOCS / "operators" / "README.md").read_text(encoding="utf-8")
    codes = re.findall(r"^\| (\d+) \|", text, re.MULTILINE)
    assert [int(code) for code in codes] == [int(code) for code in ExitCode]


def test_status_names_existing_pages():
    """Guards against advice that leads nowhere."""
    source = (ROOT / "src/sycamorecroft/cli/fleet_status.py").read_text("utf-8")
    named = set(re.findall(r"docs/operators/([a-z-]+)\.md", source))
    named |= set(re.findall(r'^    "[a-z_]+": "([a-z-]+)",$', source, re.MULTILINE))
    assert len(named) >= 6
    assert not [name for name in named if not (DOCS / f"operators/{name}.md").is_file()]
