from pathlib import Path

import persimmonspur
from persimmonspur.cli.reference import EXAMPLE, render_reference
from persimmonspur.core.configuration.document import parse_document
from persimmonspur.core.configuration.sections import SECTIONS

PAGE = Path(persimmonspur.__file__).parents[2] / "docs" / "configuration.md"


def test_the_page_is_what_the_code_says():
    assert PAGE.read_text() == render_reference()


def test_every_field_is_on_the_page():
    text = PAGE.read_text()
    for section in SECTIONS:
        assert f"## `{section.title}`" in text or section.title == "document"
        for rule in section.fields:
            assert f"| `{rule.name}` | {rule.allowed} |" in text


def test_the_example_is_valid():
    result = parse_document(EXAMPLE.split("```yaml\n")[1].split("```")[0])
    assert result.is_ok(), [str(error) for error in result.error]
