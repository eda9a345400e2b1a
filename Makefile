BIN := bin
GO ?= go

.PHONY: all build test demo bench slopes soak soak-processes lint format generate clean

all: build

build:
	mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

# KNOWN-RED.txt lists tests that fail because of a known fault that is not fixed yet, each in a line
# "test: NAME". Only these tests are skipped; CI prints the list.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -s -d '|')
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

# Crowds of clients run after the other tests and one at a time: they check memory and open files.
CROWDS := TestCrowd.*
SKIP_CROWDS := -skip '^($(if $(KNOWN_RED),$(KNOWN_RED)|)$(CROWDS))$$'

# The many simulations in virtual time are single-threaded: the race detector would find nothing
# there and take ten times as long.
SIMULATIONS := ./internal/fake/simnet ./internal/fake/warmnet
test:
	$(GO) test -race -timeout 20m $(SKIP_CROWDS) $$($(GO) list ./... | grep -v -e /fake/simnet -e /fake/warmnet)
	$(GO) test -race -timeout 20m -p 1 $(SKIP) -run '^$(CROWDS)$$' ./platform ./internal/proxy/daemon
	$(GO) test $(SKIP) $(SIMULATIONS)

demo: build
	./scripts/demo.sh

# make soak FOR=10m simulates random faults with new seeds.
FOR ?= 1m
soak: build
	$(BIN)/gypsumquay-bench soak --for $(FOR)

# make soak-processes FOR=10m runs real processes under injected faults, first with the seeds of
# platform/testdata/soak-seeds.json and then with new ones. SEED=n runs only one seed,
# SOAK_PROXIES=n sets the number of proxies.
soak-processes:
	SOAK_FOR=$(FOR) SOAK_SEED=$(SEED) SOAK_EACH=$(EACH) $(GO) test -count=1 -timeout 2h -v -run TestSoak ./platform

bench: build
	$(BIN)/gypsumquay-bench bench

slopes: build
	$(BIN)/gypsumquay-bench slopes

lint:
	test -z "$$(gofmt -l cmd internal platform)"
	golangci-lint run ./...

format:
	gofmt -w cmd internal platform

generate:
	cd internal/adapter/peerpb && protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto

clean:
	rm -rf $(BIN)
