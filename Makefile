GO ?= go

.PHONY: all build test race lint spec demo fmt

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
