PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1

.PHONY: demo test lint format fuzz measure clean

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m scripts.demo

test: $(VENV)/.ready
	$(BIN)/python -m scripts.run_tests

lint: $(VENV)/.ready
	$(BIN)/ruff format --check src tests scripts
	$(BIN)/ruff check src tests scripts

format: $(VENV)/.ready
	$(BIN)/ruff format src tests scripts
	$(BIN)/ruff check --fix src tests scripts

fuzz: $(VENV)/.ready
	$(BIN)/python -m scripts.run_tests --fuzz --seed $(SEED)

clean:
	rm -rf $(VENV) build src/*.egg-info
