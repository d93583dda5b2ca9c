.PHONY: build test race format lint ci demo property

build: ; go build -o bin/rosereach .
test: ; go test ./...
race: ; go test -race ./...
format: ; go tool -modfile=tools/go.mod gofumpt -w $$(git ls-files '*.go')
lint: ; go tool -modfile=tools/go.mod golangci-lint run --allow-parallel-runners ./...
ci: ; .ci/run
demo: ; go run . demo

property: ; go test ./core/replica -run TestGroupUnderFaults -count=1 -rapid.seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' ') -rapid.checks=20000
