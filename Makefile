# SEED orders the tests and seeds the random numbers in them; a failure is repeated with the same SEED.
SEED ?= 1

.PHONY: build check test run bench bench-capacity golden

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

check:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

test:
	SEED=$(SEED) scripts/test.sh

run: build
	scripts/run.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

bench-capacity:
	go test -run '^$$' -bench Capacity -benchmem -timeout 30m ./...

golden:
	go test ./relay -run Golden -update
