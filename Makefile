# Everyday commands for maintainers; the README explains each.
BUILD ?= build
JOBS ?= $(shell nproc)
SECONDS ?= 60

.PHONY: all deps build check check-sanitize format lint test demo soak clean

all: build

deps:
	sh scripts/install_packages.sh

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo

build: deps $(BUILD)/build.ninja
	ninja -C $(BUILD) -j $(JOBS)

format:
	sh scripts/check_format.sh
	sh scripts/check_events.sh

lint: build
	sh scripts/check_lint.sh $(BUILD)

test: build
	sh scripts/run_tests.sh $(BUILD)

check: build format lint test

check-sanitize: deps
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCROWSTEP_SANITIZE=ON
	ninja -C $(BUILD)-sanitize -j $(JOBS)
	ctest --test-dir $(BUILD)-sanitize --output-on-failure -j 4

demo: build
	bash scripts/demo.sh $(BUILD)

soak: build
	bash scripts/soak.sh $(BUILD) $(SECONDS)

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize
