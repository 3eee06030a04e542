"""Checks that the embedding example runs."""

import runpy
from pathlib import Path

EXAMPLE = Path(__file__).parents[2] / "examples" / "embedding.py"


def test_embedding_example_answers_every_request(capsys):
    module_globals = runpy.run_path(str(EXAMPLE))
    assert module_globals["main"]() == 5
    assert capsys.readouterr().out.count("'score': 1") == 5
