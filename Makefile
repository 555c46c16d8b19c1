GO ?= go

.PHONY: all build test race lint spec demo fmt measure-config

all: build lint test

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test ./...

race:
	$(GO) test -race ./...

fmt:
	$(GO) tool gofumpt -w .

lint:
	@out=$$($(GO) tool gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt: run 'make fmt' for: $$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

spec:
	spec/run

demo: build
	bin/rhubarbstub demo

measure-config:
	$(GO) test ./test/process -v -run 'TestConfiguration|TestWoken|TestDaemonCutOff|TestDaemonStarts|TestControlTraffic' -config-daemons 9 -config-changes 20
	$(GO) test ./internal/core/conf ./internal/core/member ./internal/peer -run '^$$' -bench . -benchmem -benchtime 3s
