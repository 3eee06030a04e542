"""Checks that every error kind has a response and that docs/errors.md is up to date."""

from pathlib import Path

from persimmonspur.errors import ERROR_RESPONSES, ErrorKind
from persimmonspur.reference.errors import render_errors

PAGE = Path(__file__).parents[2] / "docs" / "errors.md"


def test_every_kind_has_a_response_with_a_unique_exit_code():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    codes = [response.exit_code for response in ERROR_RESPONSES.values()]
    assert len(codes) == len(set(codes))
    assert 0 not in codes


def test_page_matches_the_error_responses():
    assert PAGE.read_text() == render_errors()
