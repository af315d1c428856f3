# `make demo` runs the main job, `make test` what CI runs.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core platform node cli testkit
READY := $(VENV)/.ready

SEEDS ?= 50
FIRST ?= 0
.PHONY: demo test bench speed hops starts shared matrix slopes confirmations reports \
    accounts connections fair retries soak stops lint format fuzz clean

$(READY): requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-build-isolation \
	    --no-deps $(foreach p,$(PACKAGES),-e packages/rattanfork-$(p)) -e platform \
	    -e packages/rattanfork-soak
	touch $@

demo: $(READY)
	$(BIN)/python -m rattanfork_testkit.demo

test: lint
	$(BIN)/python -m pytest

# The formatter, the linter and the import layers.
lint: $(READY)
	$(BIN)/ruff format --check packages platform bench
	$(BIN)/ruff check packages platform bench
	$(BIN)/lint-imports

format: $(READY)
	$(BIN)/ruff format packages platform bench
	$(BIN)/ruff check --fix packages platform bench

bench: $(READY)
	$(BIN)/python bench/surge.py

speed: $(READY)
	$(BIN)/python bench/speed.py

hops: $(READY)
	$(BIN)/python bench/hops.py

starts: $(READY)
	$(BIN)/python bench/starts.py

shared: $(READY)
	$(BIN)/python bench/shared.py

matrix: $(READY)
	$(BIN)/python -m rattanfork_testkit.matrix

fuzz: $(READY)
	HYPOTHESIS_PROFILE=long $(BIN)/python -m pytest packages/rattanfork-core \
	    packages/rattanfork-node

# Real processes with faults from outside; FIRST=0 draws fresh seeds.
soak: $(READY)
	$(BIN)/python -m rattanfork_soak --seeds $(SEEDS) --first $(FIRST) --side-by-side 2

# Nodes that are stopped under load; finds accepted requests that are lost.
stops: $(READY)
	$(BIN)/python -m rattanfork_soak.stops --seeds $(SEEDS) --first $(FIRST)

confirmations: $(READY)
	$(BIN)/python bench/confirmations.py

reports: $(READY)
	$(BIN)/python bench/reports.py

accounts: $(READY)
	$(BIN)/python bench/client_accounts.py

fair: $(READY)
	$(BIN)/python bench/fair_shares.py

retries: $(READY)
	$(BIN)/python bench/retry_budget.py

slopes: $(READY)
	$(BIN)/python bench/slopes.py

connections: $(READY)
	$(BIN)/python bench/connections.py

clean:
	rm -rf $(VENV)
