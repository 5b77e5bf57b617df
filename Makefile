.PHONY: build test lint run run-pushed fuzz soak clean

# Linked against the machine's C library, as the platform asks: it has to be able to put a library of its own before it.
export CGO_ENABLED = 1

build:
	mkdir -p bin && go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# All but what KNOWN-RED.txt lists, which has to fail: see .ci/test. What the tests need beside Go, .ci/setup installs or names.
test:
	.ci/setup
	.ci/test

# The linters and formatters of .golangci.yml, in the version that tools/go.mod pins.
lint:
	go vet ./...
	cd tools && go build -o ../bin/tools/ tool
	bin/tools/golangci-lint fmt --diff
	bin/tools/golangci-lint run ./...

# The balancer in front of two toy servers, with the toy discovery; see example/README.md.
run: build
	go build -o bin/ ./example/toy
	bin/toy & toy=$$!; trap 'kill $$toy 2>/dev/null || :' EXIT; trap 'exit 0' INT TERM; \
		GW_CONFIG=example/config.json bin/spurspread

# The same program in front of toys of the other kind, which tell their load: example/pushed.json. Both can run at once.
run-pushed: build
	go build -o bin/ ./example/toy
	bin/toy --pushed --nodes 127.0.0.1:9101,127.0.0.1:9102 --discovery 127.0.0.1:8501 & toy=$$!; \
		trap 'kill $$toy 2>/dev/null || :' EXIT; trap 'exit 0' INT TERM; GW_CONFIG=example/pushed.json bin/spurspread

# Each fuzz target for FUZZTIME; what they find goes into testdata and is a test from then on.
FUZZTIME ?= 30s
fuzz:
	go list ./... | while read -r p; do \
		for f in $$(go test -list '^Fuzz' $$p | grep '^Fuzz'); do \
			echo "$$p $$f" && go test -run xxx -fuzz "^$$f\$$" -fuzztime $(FUZZTIME) $$p || exit 1; \
		done; \
	done

# Members of a fleet in virtual time: every script with so many seeds, some 10,000 plays. A play that breaks a bound is told with the one command
# that plays it again.
SOAK ?= 1112
soak: build
	bin/spurspread-lab virtual --repeat $(SOAK) --jobs $$(nproc)

clean:
	rm -rf bin
