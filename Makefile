.PHONY: build test demo bench prove soak slopes regress generate lint fmt fmt-check

MODULES = . bench stand sycctl sycd sycload
PROGRAMS = sycd sycctl sycload stand bench
SEED ?= 1
# Further flags of the soak, such as --deep or --long.
SOAK ?=
# Log of the run of soak or prove. Its plots are written beside it.
RUN ?= bin/$@$(subst --,-,$(subst $() ,,$(SOAK)))-$(SEED).run
# Plots the run and prints its verdict, and exits with the code of the run.
REPORT = rc=$$?; bin/sycload report $(RUN) || rc=1; exit $$rc
DURATION ?= 60s
# The users' bench and the site files of the regression runs, the largest first.
PLAYER ?=
SITES ?=
JOBS ?= 3
# Tests named in KNOWN-RED.txt as "test=NAME", joined for -skip.
RED = $(shell sed -n 's/^test=\([^ ]*\).*/^\1$$/p' KNOWN-RED.txt | paste -sd '|' -)

build:
	@for p in $(PROGRAMS); do go build -o bin/ ./$$p || exit 1; done

test: build
	@grep '^test=' KNOWN-RED.txt | sed 's/^/known red, passed over: /' || true
	@for m in $(MODULES); do (cd $$m && go test $(if $(RED),-skip '$(RED)') ./...) || exit 1; done

demo: build
	@bin/bench demo

bench: build
	@bin/bench surge

prove: build
	@rm -f $(RUN); bin/bench prove --seed $(SEED) --duration $(DURATION) --run $(RUN); $(REPORT)

soak: build
	@rm -f $(RUN); bin/bench soak --seed $(SEED) --duration $(DURATION) $(SOAK) --run $(RUN); $(REPORT)

slopes: build
	@bin/bench slopes

regress: build
	@if [ -z "$(PLAYER)" ] || [ -z "$(SITES)" ]; then echo 'regress: not run, set PLAYER to the users'"'"' bench and SITES to site files'; exit 1; fi
	@bin/bench regress --player $(PLAYER) --jobs $(JOBS) $(SITES)

generate:
	proto/generate.sh

lint:
	@for m in $(MODULES); do (cd $$m && golangci-lint run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

fmt:
	@for m in $(MODULES); do (cd $$m && golangci-lint fmt --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

fmt-check:
	@for m in $(MODULES); do (cd $$m && golangci-lint fmt --diff --config $(CURDIR)/.golangci.yml ./...) || exit 1; done
