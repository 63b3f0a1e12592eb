PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LOCK := requirements/dev.lock
PACKAGES := $(wildcard packages/figcrank-*) platform
SOURCES := packages platform
STAMP := $(VENV)/.installed
LISTEN ?= 127.0.0.1:8080

SOAK ?= --seeds 5

.PHONY: run test lint measure format lock fleet load-run platform soak

run: $(STAMP)
	$(BIN)/figcrankd --embedded --listen $(LISTEN)

fleet: $(STAMP)
	examples/fleet.sh $(BIN)

load-run: $(STAMP)
	$(BIN)/python -m figcrank.cli.bench

# Two pytest runs: in a single run, the platform/ directory would shadow the platform module of the
# standard library.
test: $(STAMP)
	cd platform && ../$(BIN)/pytest
	$(BIN)/pytest

platform: $(STAMP)
	$(BIN)/python platform/tests/calm_day.py

soak: $(STAMP)
	cd platform/tests && ../../$(BIN)/python -W ignore -m soak $(SOAK)

measure: $(STAMP)
	$(BIN)/python -m figcrank.measure

lint: $(STAMP)
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/lint-imports --no-cache

format: $(STAMP)
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix $(SOURCES)

lock: $(STAMP)
	cd requirements && pip-compile --generate-hashes --allow-unsafe --strip-extras --no-header \
		--no-emit-index-url --no-emit-trusted-host --no-emit-find-links -o dev.lock dev.in

# flock serializes concurrent installations. An interrupted installation leaves no stamp file, so the
# next run repeats it.
INPUTS := $(LOCK) $(wildcard packages/*/pyproject.toml) platform/pyproject.toml

$(STAMP): $(INPUTS)
	flock .install.lock sh requirements/install.sh $(PYTHON) $(VENV) $(STAMP) $(LOCK) $(PACKAGES)
