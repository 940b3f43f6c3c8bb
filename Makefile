VENV ?= .venv
PYTHON ?= python3.11
LIBS := core document state claims membership routing limits capacity rollout streams platform upstreams peers daemon cli standins bench gateway
RUN := $(VENV)/bin
export PYTHONPATH := $(subst $(eval) ,:,$(foreach lib,$(LIBS),$(CURDIR)/libs/$(lib)/src) $(CURDIR)/platform/src)
STAMP := $(VENV)/.installed
# SETUP=no uses the environment in VENV as it is, for several work trees that share one.
SETUP ?= yes

.PHONY: setup test lint types unit demo bench promises soak proto
SOAK ?= --seed 1 --seeds 10 --seconds 15

ifeq ($(SETUP),no)
setup:
else
setup: $(STAMP)
endif

$(STAMP): requirements.lock $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	test -x $(RUN)/python || $$(command -v $(PYTHON) || command -v python3) -m venv $(VENV)
	$(RUN)/pip install -q --no-compile --disable-pip-version-check -r requirements.lock
	$(RUN)/pip install -q --no-compile --disable-pip-version-check --no-deps --no-build-isolation $(foreach lib,$(LIBS),-e libs/$(lib)) -e platform
	touch $@

test: lint types unit

lint: setup
	$(RUN)/ruff format --check .
	$(RUN)/ruff check .
	$(RUN)/lint-imports --no-cache --no-logo

types: setup
	$(RUN)/mypy $(foreach lib,$(LIBS) bridge,-p waxwingbarrow.$(lib))

unit: setup
	$(RUN)/pytest

demo: setup
	$(RUN)/python -m waxwingbarrow.bench.demo

bench: setup
	$(RUN)/python -m waxwingbarrow.bench.bench

promises: setup
	$(RUN)/python -m waxwingbarrow.bench.promises

# Real gateways as processes with faults from outside; SOAK chooses seeds and length.
soak: setup
	$(RUN)/python platform/soak/soak.py $(SOAK)

# No generated stubs: they would reject a malformed frame before it can be reported.
proto: setup
	$(RUN)/python -m grpc_tools.protoc --proto_path=libs/peers/src --python_out=libs/peers/src --pyi_out=libs/peers/src waxwingbarrow/peers/_peer.proto
