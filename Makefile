PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LOCK := requirements/dev.lock
PACKAGES := $(wildcard packages/figcrank-*)
STAMP := $(VENV)/.installed
LISTEN ?= 127.0.0.1:8080

.PHONY: run test lint measure format lock fleet load-run

run: $(STAMP)
	$(BIN)/figcrankd --embedded --listen $(LISTEN)

fleet: $(STAMP)
	examples/fleet.sh $(BIN)

load-run: $(STAMP)
	$(BIN)/python -m figcrank.cli.bench

test: $(STAMP)
	$(BIN)/pytest

measure: $(STAMP)
	$(BIN)/python -m figcrank.measure

lint: $(STAMP)
	$(BIN)/black --check --quiet packages
	$(BIN)/ruff check --quiet packages
	$(BIN)/lint-imports --no-cache

format: $(STAMP)
	$(BIN)/black --quiet packages
	$(BIN)/ruff check --quiet --fix packages

lock: $(STAMP)
	cd requirements && pip-compile --generate-hashes --allow-unsafe --strip-extras --no-header \
		--no-emit-index-url --no-emit-trusted-host --no-emit-find-links -o dev.lock dev.in

$(STAMP): $(LOCK) $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r $(LOCK)
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $@
