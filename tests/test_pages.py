"""Tests that the pages in docs/ are linked and document existing commands."""

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


def test_every_page_is_linked_from_the_first_one():
    """Guards against pages that no other page links to."""
    linked_pages = {DOCS / "README.md"}
    unread_pages = list(linked_pages)
    while unread_pages:
        page = unread_pages.pop()
        for target in LINK.findall(page.read_text(encoding="utf-8")):
            target_page = (page.parent / target).resolve()
            assert target_page.is_file(), f"{page} links a missing page: {target}"
            if target_page not in linked_pages:
                linked_pages.add(target_page)
                unread_pages.append(target_page)
    assert set(PAGES) <= linked_pages


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_documented_commands_are_accepted_by_the_tool(page):
    """Guards against documented commands that the tool no longer accepts."""
    app = create_app()
    for line in COMMAND.findall(page.read_text(encoding="utf-8")):
        tokens = shlex.split(line)
        if "TIME" in tokens:
            tokens[tokens.index("TIME")] = "2026-12-31T18:00+02:00"
        if "VERSION" in tokens:
            tokens[tokens.index("VERSION")] = "1"
        app.parse_args(tokens, exit_on_error=False, print_error=False)


def test_all_exit_codes_are_documented():
    """Guards against exit codes without documentation."""
    text = (DOCS / "operators" / "README.md").read_text(encoding="utf-8")
    codes = re.findall(r"^\| (\d+) \|", text, re.MULTILINE)
    assert [int(code) for code in codes] == [int(code) for code in ExitCode]


def test_status_refers_to_existing_pages():
    """Guards against references of `status` to pages that do not exist."""
    source = (ROOT / "src/sycamorecroft/cli/fleet_status.py").read_text("utf-8")
    page_names = set(re.findall(r"docs/operators/([a-z-]+)\.md", source))
    page_names |= set(
        re.findall(r'^    "[a-z_]+": "([a-z-]+)",$', source, re.MULTILINE)
    )
    assert len(page_names) >= 6
    assert not [
        name for name in page_names if not (DOCS / f"operators/{name}.md").is_file()
    ]
