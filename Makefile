# Tools are installed at these versions into .bin; nothing else is needed but Go.
GOFUMPT_VERSION := v0.12.0
GOLANGCI_VERSION := v2.15.0
BIN := $(CURDIR)/.bin
GO ?= go
# GOFLAGS for every build and test of this project.
export GOFLAGS := -buildvcs=false

# SEEDS is how many seeds each small shape of the bench runs with.
SEEDS ?= 3

.PHONY: all build test demo bench bench-short slopes tools format format-check lint generate generate-check clean

all: build

build: ## Build the programs into .bin.
	$(GO) build -o $(BIN)/ ./cmd/...

test: ## Run every test, with the race detector.
	$(GO) test -race -count=1 ./...

bench: ## Measure the decisions against baselines; the results also go to .bin/bench.jsonl.
	$(GO) run ./cmd/mangoledge-bench --seeds $(SEEDS) --json $(BIN)/bench.jsonl

bench-short: ## The same for one shape and a few scenarios, in under 30 s.
	$(GO) run ./cmd/mangoledge-bench --short --json $(BIN)/bench-short.jsonl

slopes: ## Measure what control costs, for docs/CAPACITY.md; takes about two and a half minutes.
	$(GO) run ./cmd/mangoledge-slopes --json docs/capacity/slopes.json --table docs/capacity/slopes.txt

demo: build ## Show the whole system at work on this machine.
	$(BIN)/mangoledge-demo --bin $(BIN)

tools: $(BIN)/gofumpt $(BIN)/golangci-lint

$(BIN)/gofumpt:
	GOBIN=$(BIN) $(GO) install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)

$(BIN)/golangci-lint:
	GOBIN=$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

format: $(BIN)/gofumpt ## Format the written code.
	$(BIN)/gofumpt -w cmd internal

format-check: $(BIN)/gofumpt
	@out=$$($(BIN)/gofumpt -l cmd internal); test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }

lint: $(BIN)/golangci-lint ## Run the linter.
	$(BIN)/golangci-lint run ./...

generate: ## Write the API code anew from api/*.yaml.
	$(GO) tool ogen --target api/callerapi --package callerapi --clean --config api/ogen.yaml api/caller.yaml
	$(GO) tool ogen --target api/operatorapi --package operatorapi --clean --config api/ogen.yaml api/operator.yaml

generate-check: generate
	git diff --exit-code -- api

clean:
	rm -rf $(BIN)
