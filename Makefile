# Every target makes .venv from the pinned versions when it is missing.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SCHEMAS := settings service messages

SEEDS ?= 10

.PHONY: test demo bench capacity soak lint format generate check-generated clean

test: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -q

demo: $(STAMP)
	$(BIN)/python -m teaselwall.tools.demo --deployment directorate

bench: $(STAMP)
	$(BIN)/python -m teaselwall.tools.bench

capacity: $(STAMP)
	$(BIN)/python -m teaselwall.tools.capacity

soak: $(STAMP)
	$(BIN)/python -m teaselwall.tools.soak --seeds $(SEEDS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python tools/generate.py teaselwall/generated
	$(BIN)/ruff format -q teaselwall/generated

check-generated: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python tools/generate.py build/generated
	$(BIN)/ruff format -q build/generated
	diff -r -x __pycache__ build/generated teaselwall/generated

$(STAMP): requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.txt
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

clean:
	rm -rf build .pytest_cache .ruff_cache
