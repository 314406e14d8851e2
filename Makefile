SHELL := /bin/bash

.PHONY: build test demo failures bench slopes lint generate fuzz

build:
	go build -o bin/ ./cmd/...

# All tests.
test:
	go test -race -count=1 ./...

# A fleet at work on this machine, in under a minute.
demo: build
	./scripts/demo.sh

# Kills, freezes, cuts and outages on real processes.
failures: build
	./scripts/failures.sh

# The policy and its baselines at the users' sizes and the design size.
bench: build
	./bin/auburntray bench

# What a router spends as the rate of calls grows, on real processes.
slopes: build
	./scripts/slopes.sh

lint:
	./scripts/lint.sh

generate:
	go generate ./...

fuzz:
	go test -run '^$$' -fuzz FuzzParse -fuzztime 20s ./internal/parser
	go test -run '^$$' -fuzz FuzzDecode -fuzztime 20s ./internal/messenger
	go test -run '^$$' -fuzz FuzzNext -fuzztime 20s ./internal/sender
	go test -run '^$$' -fuzz FuzzNext -fuzztime 20s ./internal/splitter
	go test -run '^$$' -fuzz FuzzFollow -fuzztime 20s ./platform
	go test -run '^$$' -fuzz FuzzDecodeConfig -fuzztime 20s ./platform
