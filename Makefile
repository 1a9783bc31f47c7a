PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup test check run measure

setup: .venv/.ready

.venv/.ready: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[checks]'
	touch .venv/.ready

test: setup check

check:
	$(BIN)/ruff check --select I,F .
	$(BIN)/ruff format --check .
	$(BIN)/flake8 trefoilsaddle standins measure tests
	$(BIN)/lint-imports
	$(BIN)/mypy
	$(BIN)/python -m pytest

run: setup
	$(BIN)/python -m standins.scenario

measure: setup
	$(BIN)/python -m measure.service
