# make demo      build, start all processes on this machine, run three jobs and one table edit
# make test      what CI runs: tests, formatter, linter
# make bench     benchmarks, with fixed seeds
# make fuzz SECONDS=N  randomised tests with new seeds, beyond the fixed seeds of make test
# make soak SECONDS=N SEED=S  the platform's programs as processes, with the faults of a seed
BUILD ?= build
SECONDS ?= 30
SEED ?= 1

.PHONY: all deps build test unit format lint bench demo fuzz soak generate sanitize clean
all: build

deps:
	tools/deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja -DFLAMINGO_WERROR=ON > /dev/null
	cmake --build $(BUILD)

unit: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

# Runs the tests with the address and undefined-behaviour sanitizers.
sanitize: deps
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DFLAMINGO_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug > /dev/null
	cmake --build $(BUILD)-sanitize
	ctest --test-dir $(BUILD)-sanitize --output-on-failure -j 4

format: deps
	tools/format.sh

lint: build
	tools/lint.sh $(BUILD)

test: unit format lint

bench: build
	tools/bench.sh $(BUILD)

demo: build
	tools/demo.sh $(BUILD)

fuzz: build
	tools/fuzz.sh $(BUILD) $(SECONDS)

soak: build
	$(BUILD)/soak --build=$(BUILD) --seconds=$(SECONDS) --seed=$(SEED)

generate:
	flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums -o flamingo/wire schema/messages.fbs

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize
