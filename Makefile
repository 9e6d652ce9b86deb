VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src:.
export PYTHONHASHSEED := 0


.PHONY: setup demo test prove bench measure lint format cover nocover thrift clean

# A virtual environment given on the command line is used as it is.
ifeq ($(origin VENV),command line)
setup:
else
setup: $(VENV)/.ready
endif

$(VENV)/.ready: pyproject.toml requirements.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -e '.[dev]'
	touch $@

demo: setup
	$(PY) -m bench.demo

test: setup lint cover nocover

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 src standins proof measure bench tests

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

cover: setup
	$(PY) -m pytest tests/cover

nocover: setup
	$(PY) -m pytest tests/nocover tests/scenarios

# All proofs under failure, one line for each guarantee.
prove: setup
	$(PY) -m bench.prove

# Cost of the two hops and of control, against the engine called directly.
bench: setup
	$(PY) -m bench.overhead

# All policies on the same recorded loads.
measure: setup
	$(PY) -m measure.all

# Needs the thrift compiler (a developer's tool); set-up and CI do not.
thrift:
	rm -rf build/thrift && mkdir -p build/thrift
	thrift --gen py:slots,enum -out build/thrift \
	  src/wagtailhollow/internal/wire/wagtailhollow.thrift
	mkdir -p src/wagtailhollow/internal/wire/gen
	cp build/thrift/gen/*.py src/wagtailhollow/internal/wire/gen/
	sha256sum < src/wagtailhollow/internal/wire/wagtailhollow.thrift \
	  | cut -d' ' -f1 > src/wagtailhollow/internal/wire/gen/IDL_SHA256

clean:
	rm -rf build
