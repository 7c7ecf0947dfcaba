# build: all that run and sim need, inside this folder. test, lint: what CI calls. run: the example's sidecar.
# Whoever copies what was built keeps the files' times (cp -p): else each start compiles all of it anew.
PYTHON ?= python3
BIN = .venv/bin
# Tests side by side; "auto": one for each core, 0: one after the other, in one process.
JOBS ?= auto

.PHONY: build test lint run lab bench system proto tier

build: .venv/built
	$(BIN)/python -m compileall -q wheatring

test: .venv/dev
	$(BIN)/python -m pytest -n $(JOBS) --dist loadscope

lint: .venv/dev
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache --no-logo

run: build
	LB_CONFIG=example/config.json $(BIN)/python -m wheatring

# A day in virtual time with everything in it, and what came of it.
lab: .venv/lab
	$(BIN)/python -m wheatring lab run small --grain wire --seed 1

# The sidecar beside a relay and a reverse proxy, about two minutes; figures count on an idle machine only.
bench: .venv/dev
	$(BIN)/python -m wheatring lab bench

.venv/built: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q --only-binary=:all: -r requirements.txt
	$(BIN)/python -m compileall -q .venv/lib
	touch $@

.venv/lab: .venv/built pyproject.toml
	$(BIN)/pip install -q --only-binary=:all: -r requirements.txt -e '.[lab]'
	touch $@

.venv/dev: .venv/built pyproject.toml
	$(BIN)/pip install -q --only-binary=:all: -r requirements.txt -e '.[dev]'
	touch $@

# A small whole tier on loopback with stand-in endpoints and platform, and a conversation through it.
tier: .venv/tier
	$(BIN)/python -m wheatring.tier demo

.venv/tier: .venv/built pyproject.toml
	$(BIN)/pip install -q --only-binary=:all: -r requirements.txt -e '.[tier]'
	touch $@

# What the roles in deploy/system.toml run: libraries and a precompiled copy of the program, all under target/.
system:
	test target/deps/.built -nt requirements-tier.txt || { $(PYTHON) -m pip install -q --only-binary=:all: --upgrade --target target/deps \
	  -r requirements-tier.txt && $(PYTHON) -m compileall -q target/deps; touch target/deps/.built; }
	rm -rf target/app && mkdir -p target/app
	cp -r wheatring target/app/
	cp deploy/tier.py target/app/tier.py
	$(PYTHON) -m compileall -q target/app

# The internal protocol's generated code, which is committed.
proto: .venv/dev
	cd wheatring/tier/transport && ../../../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. messages.proto
