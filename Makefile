PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
HOURS ?= 0.1
SEEDS ?= 1
AT_ONCE ?= 1

.PHONY: help install demo faults test format lint bench soak soak-processes

help:  ## List the commands.
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

install: $(STAMP)  ## Build the environment from the pinned list.

demo: $(STAMP)  ## Run both example deployments and print what was measured.
	tools/demo.sh

faults: $(STAMP)  ## Run an example deployment while its parts fail.
	tools/faults.sh

test: $(STAMP)  ## Check format, lint and types, then run the tests.
	$(BIN)/black --check --quiet src tests
	$(BIN)/ruff check --quiet src tests
	$(BIN)/mypy
	$(BIN)/pytest -q

format: $(STAMP)  ## Format the code.
	$(BIN)/black --quiet src tests
	$(BIN)/ruff check --fix --quiet src tests

bench: $(STAMP)  ## Write the report with tables and plots to out/bench.
	$(BIN)/python -m dotterelstand.bench --seed $(SEED) --out out/bench

soak-processes: $(STAMP)  ## Run real daemon processes under faults: SEED, SEEDS, AT_ONCE.
	cd tests && ../$(BIN)/python -m soak.run --seed $(SEED) --seeds $(SEEDS) --at-once $(AT_ONCE)

soak: $(STAMP)  ## Run the randomised invariants for HOURS of virtual time.
	$(BIN)/python -m dotterelstand.bench.soak --seed $(SEED) --hours $(HOURS)
