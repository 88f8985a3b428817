# The commands of the project; each is enough on a fresh Debian machine.
BUILD ?= build
JOBS ?= $(shell nproc)
CMAKE_FLAGS ?=
# Paths inside the tree are hashed as relative ones, so that several working trees of one machine share the
# compiler cache.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: help setup build test lint format test-sanitize model-check bench demo soak clean

help: ## Show the commands
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:[^#]*## /\t/' | expand -t 18

setup: ## Install the Debian packages that tools/packages.txt lists
	@tools/setup.sh

build: setup ## Build the programs into build/bin
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache $(CMAKE_FLAGS) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build ## Build and run all tests
	@tools/run_tests.sh $(BUILD)

lint: build ## clang-format and clang-tidy over the project's sources
	@tools/lint.sh $(BUILD)

format: ## Format the sources in place
	@tools/lint.sh --format

test-sanitize: ## Build and test with the address and undefined-behaviour sanitizers
	@$(MAKE) --no-print-directory test BUILD=build-sanitize CMAKE_FLAGS=-DGORSETRAIL_SANITIZE=ON

model-check: setup ## Check the Promela models and their mutants with Spin
	@spec/check.sh

bench: build ## Measure speed: what the node adds to a call, and the cost of a token
	@tools/bench.sh $(BUILD)

demo: build ## Run both sites on embedded stand-ins and check every promise
	@tools/demo.sh $(BUILD)

soak: build ## Real edge nodes under faults from outside: kept seeds and a fresh one
	@tools/fault_soak.sh $(BUILD)

clean: ## Remove what was built
	@rm -rf build build-sanitize run
