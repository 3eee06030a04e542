"""Guards against error kinds without an answer and against a stale page."""

from pathlib import Path

from persimmonspur.errors import ERROR_RESPONSES, ErrorKind
from persimmonspur.reference.errors import render_errors

PAGE = Path(__file__).parents[2] / "docs" / "errors.md"


def test_every_kind_has_an_answer_with_its_own_exit_code():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    codes = [answer.exit_code for answer in ERROR_RESPONSES.values()]
    assert len(codes) == len(set(codes))
    assert 0 not in codes


def test_page_matches_the_table():
    assert PAGE.read_text() == render_errors()
