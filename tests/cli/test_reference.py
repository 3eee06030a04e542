from pathlib import Path

import persimmonspur
from persimmonspur.cli.reference import EXAMPLE, render_reference
from persimmonspur.core.configuration.document import parse_document

PAGE = Path(persimmonspur.__file__).parents[2] / "docs" / "configuration.md"


def test_the_page_matches_the_code():
    assert PAGE.read_text() == render_reference()


def test_the_example_is_valid():
    result = parse_document(EXAMPLE.split("```yaml\n")[1].split("```")[0])
    assert result.is_ok(), [str(error) for error in result.error]
