# `make demo` creates the environment and runs the demo; `make check` runs all checks.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup demo check format

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

demo: setup
	$(BIN)/persimmonspur demo

check: setup
	$(BIN)/ruff format --check src tests examples
	$(BIN)/ruff check src tests examples
	$(BIN)/mypy
	PIP="$(BIN)/python -m pip" sh deploy/check-wheels
	$(BIN)/python -m pytest

format: setup
	$(BIN)/ruff format src tests examples
	$(BIN)/ruff check --fix src tests examples
