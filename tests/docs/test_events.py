"""Checks that docs/events.md is up to date."""

from pathlib import Path

from persimmonspur.reference.events import render_events

PAGE = Path(__file__).parents[2] / "docs" / "events.md"


def test_page_matches_the_catalogue():
    assert PAGE.read_text() == render_events()
