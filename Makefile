# `make demo` runs the main job, `make test` the tests; each sets itself up.
VENV ?= .venv
PYTHON ?= python3
RUN = $(VENV)/bin/python -m
WORKERS ?= auto
# Tests of memory and descriptors, which run one at a time and apart from others.
CROWDS = sequoiaspoke/tests/test_node_crowds.py platform/tests/test_platform_crowds.py

.PHONY: demo test lint format golden property soak property-idempotency mesh-property thrift docs reference dist dist-check

$(VENV)/.ready: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

demo: $(VENV)/.ready
	$(RUN) sequoiaspoke demo

test: $(VENV)/.ready
	$(RUN) pytest -n $(WORKERS) $(CROWDS:%=--ignore=%)
	$(RUN) pytest -n 1 $(CROWDS)

property: $(VENV)/.ready
	SPREAD_EXAMPLES=2000 $(RUN) pytest -n $(WORKERS) sequoiaspoke/tests/test_spread_property.py

soak: $(VENV)/.ready
	SOAK_SEED=$(or $(SEED),1) SOAK_SECONDS=$(or $(LENGTH),60) SOAK_NODES=$(NODES) \
		SOAK_SHAPE=$(or $(SHAPE),general) SOAK_HOLDS=$(HOLDS) $(RUN) pytest -n 3 -s \
		platform/tests/test_platform_soak.py

thrift:
	rm -rf sequoiaspoke/wire/gen
	thrift --gen py:slots -out sequoiaspoke/wire sequoiaspoke/wire/sequoiaspoke.thrift
	thrift --gen py:slots -out sequoiaspoke/wire sequoiaspoke/wire/meshlink.thrift
	rm sequoiaspoke/wire/gen/PeerLink-remote

lint: $(VENV)/.ready
	$(RUN) ruff format --check .
	$(RUN) ruff check .

format: $(VENV)/.ready
	$(RUN) ruff format .
	$(RUN) ruff check --fix .

golden: $(VENV)/.ready
	GOLDEN=write $(RUN) pytest -n 0 sequoiaspoke/tests platform/tests

dist: $(VENV)/.ready
	$(VENV)/bin/python tools/dist.py

dist-check: $(VENV)/.ready
	$(VENV)/bin/python tools/dist_check.py

docs: reference
	$(RUN) mkdocs build --strict

reference: $(VENV)/.ready
	$(VENV)/bin/python tools/reference.py

fuzz: $(VENV)/.ready
	FUZZ_EXAMPLES=$(or $(EXAMPLES),20000) $(RUN) pytest -n $(WORKERS) sequoiaspoke/tests/test_fuzz*.py \
		platform/tests/test_fuzz*.py

property-idempotency: $(VENV)/.ready
	PROPERTY_EXAMPLES=$${PROPERTY_EXAMPLES:-2500} $(RUN) pytest -n 4 \
		sequoiaspoke/tests/test_idempotency_property.py

mesh-property: $(VENV)/.ready
	MESH_SEEDS=$${MESH_SEEDS:-4000} $(RUN) pytest -n $(WORKERS) \
		sequoiaspoke/tests/test_mesh_property.py sequoiaspoke/tests/test_spread_sim.py
