# Each target sets up its own virtual environment in .venv.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
PACKAGES := coordination kernel daemon cli testsupport

.PHONY: setup test lint format demo faults soak simulate mixed bench slopes

setup: $(STAMP)

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-build-isolation --no-deps \
		$(foreach package,$(PACKAGES),--editable packages/$(package)) --editable platform
	touch $@

test: $(STAMP)
	$(BIN)/python tools/runtests.py

lint: $(STAMP)
	$(BIN)/black --check --quiet packages platform tools
	$(BIN)/ruff check --quiet packages platform tools

format: $(STAMP)
	$(BIN)/black --quiet packages platform tools
	$(BIN)/ruff check --quiet --fix packages platform tools

demo: $(STAMP)
	$(BIN)/python -m coltsfoothead.testsupport.demo

faults: $(STAMP)
	$(BIN)/python -m coltsfoothead.testsupport.faults

# Fresh seeds by hand: make soak SEED=1000 SEEDS=50
SEED ?= 1
SEEDS ?= 50
soak: $(STAMP)
	$(BIN)/python tools/soak.py --seed $(SEED) --count $(SEEDS) --jobs 2

# Simulated control processes, 60 seeds in CI: make simulate SEED=1 SEEDS=1000
simulate: $(STAMP)
	SEED=$(SEED) SEEDS=$(SEEDS) $(BIN)/python packages/daemon/tests/test_formation_simulation.py

# An earlier build beside the current one: make mixed OLD=COMMIT
mixed: $(STAMP)
	$(BIN)/python tools/mixed.py --old $(OLD) --seed $(SEED) --count 2

bench: $(STAMP)
	$(BIN)/python tools/bench.py

slopes: $(STAMP)
	$(BIN)/python tools/slopes.py
