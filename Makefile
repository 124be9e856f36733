# run:      end-to-end test of a deployment with simulated targets
# test:     all checks of CI
# measure:  comparison of a deployment with baselines
# soak:     soak test with random faults for MINUTES (2 by default)
# seeds:    soak tests with the seeds that have failed before
# proof:    a failure scenario and verdict for each guarantee
# capacity: benchmarks behind docs/CAPACITY.md
DEPLOYMENT ?= consorcio
export PATH := $(CURDIR)/.bin:$(PATH)

.PHONY: run capacity measure soak seeds proof test build lint fmt generate

run: build
	script/run $(DEPLOYMENT)

capacity:
	script/capacity

measure: build
	script/measure $(DEPLOYMENT)

soak: build
	script/soak $(DEPLOYMENT)

seeds: build
	script/seeds

proof: build
	script/proof

test: lint build
	script/test

build:
	script/build

lint:
	script/lint

fmt:
	script/fmt

generate:
	script/generate
