# run: the whole path with stand-ins; test: everything CI checks;
# measure: the product against baselines; soak: random faults for minutes;
# seeds: the soak's seeds that ever failed;
# proof: the failure behind each point that must always hold;
# capacity: the slopes of docs/CAPACITY.md.
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
