# Two commands for a newcomer: `make demo` and `make test`.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: soak soak-platform setup demo test lint format binary slopes thrift clean bench-placement bench-routing

setup: .venv/ready

.venv/ready: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/python -m demo $(ARGS)

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8
	$(BIN)/mypy hyssopring
	$(BIN)/python -m pytest -n 4 --ignore=tests/crowds
	$(BIN)/python -m pytest tests/crowds

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8
	$(BIN)/mypy hyssopring

format: setup
	$(BIN)/ruff format .

# Needs matplotlib for its plots, of the dev extra.
bench-placement: setup
	$(BIN)/python -m bench.placement $(ARGS)

binary: setup
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed -e hyssopring.cli.main:main -o dist/hyssopring -p '/usr/bin/env python3' .

# Long randomised runs, see docs/SOAK.md; JOBS processes side by side.
SEED ?= 1
SEEDS ?= 4
STEPS ?= 600
JOBS ?= 4
soak: setup
	$(BIN)/python -m soak --seed $(SEED) --seeds $(SEEDS) --steps $(STEPS) --jobs $(JOBS) $(if $(MINUTES),--minutes $(MINUTES))

# Faults on the platform's real programs, see docs/SOAK.md.
soak-platform: setup
	$(BIN)/python -m soak.platform --seed $(SEED) --seeds $(SEEDS) --jobs $(JOBS) $(if $(MINUTES),--minutes $(MINUTES))

# Measures for docs/CAPACITY.md; ten minutes, or two with ARGS=--quick.
slopes: setup
	$(BIN)/python -m bench.slopes $(ARGS)

# Needs a thrift compiler; its output is committed, so no build needs it.
thrift:
	mkdir -p build/thrift
	thrift -r --gen py:slots -out build/thrift hyssopring/protocol/inner.thrift
	cp build/thrift/hyssopring/protocol/generated/*.py hyssopring/protocol/generated/

clean:
	rm -rf .venv build dist

# ARGS='--scenarios steady slow --seeds 1' for a part of it.
bench-routing: setup
	$(BIN)/python -m bench.routing $(ARGS)
