.PHONY: build test demo bench prove slopes generate lint

MODULES = . bench stand sycctl sycd sycload
SEED ?= 1
DURATION ?= 60s

build:
	@for m in sycd sycctl sycload stand bench; do go build -o bin/ ./$$m || exit 1; done

test:
	@for m in $(MODULES); do (cd $$m && go test ./...) || exit 1; done

demo: build
	@bin/bench demo

bench: build
	@bin/bench surge

prove: build
	@bin/bench prove --seed $(SEED) --duration $(DURATION)

slopes: build
	@bin/bench slopes

generate:
	proto/generate.sh

lint:
	@for m in $(MODULES); do (cd $$m && golangci-lint run ./...) || exit 1; done
