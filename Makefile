# Every target sets up its own virtual environment in $(VENV) on first use.
VENV ?= .venv
PYTHON ?= python3
PY = $(VENV)/bin/python
ARGS ?=
BENCHES = packet steering control balance capacity configuration start platform overload

.PHONY: demo soak test check format generate capacity-page $(addprefix bench-,$(BENCHES))

$(VENV)/.ready: requirements.txt requirements-dev.txt
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -r requirements-dev.txt
	touch $@

test: $(VENV)/.ready
	$(PY) -m pytest

check: $(VENV)/.ready
	$(PY) -m black --check -q .
	$(PY) -m ruff check -q .
	$(PY) -m mypy
	$(PY) -m scripts.generate --check

format: $(VENV)/.ready
	$(PY) -m ruff check -q --fix .
	$(PY) -m black -q .

generate: $(VENV)/.ready
	$(PY) -m scripts.generate

demo: $(VENV)/.ready
	$(PY) -m pearwell.standins.demo $(ARGS)

# Faults on the platform's role, for example ARGS="--seed 7 --seeds 50".
soak: $(VENV)/.ready
	$(PY) -m pearwell.cli.soak $(ARGS)

# A bench prints one JSON line per scheme or measurement.
bench-packet: $(VENV)/.ready
	$(PY) -m bench.packet $(ARGS)
bench-steering: $(VENV)/.ready
	$(PY) -m bench.steering $(ARGS)
bench-control: $(VENV)/.ready
	$(PY) -m bench.control $(ARGS)
bench-balance: $(VENV)/.ready
	$(PY) -m bench.balance $(ARGS)
bench-capacity: $(VENV)/.ready
	$(PY) -m bench.capacity $(ARGS)
bench-configuration: $(VENV)/.ready
	$(PY) -m bench.configuration $(ARGS)
bench-start: $(VENV)/.ready
	$(PY) -m bench.start $(ARGS)
bench-platform: $(VENV)/.ready
	$(PY) -m bench.platform $(ARGS)
bench-overload: $(VENV)/.ready
	$(PY) -m bench.overload $(ARGS)

# Measures the slopes anew and works out docs/CAPACITY.md from them.
capacity-page: $(VENV)/.ready
	$(PY) -m bench.capacity $(ARGS) > docs/capacity-slopes.jsonl
	$(PY) -m scripts.capacity
