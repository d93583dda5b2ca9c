.PHONY: build test crowd race format lint ci demo property soak regress

build: ; go build -o bin/rosereach .
test: ; .ci/test ./...
crowd: ; .ci/test -tags crowd -count=1 -timeout 20m ./test/crowd
race: ; .ci/test -race ./...
format: ; go tool -modfile=tools/go.mod gofumpt -w $$(git ls-files '*.go')
lint: ; go tool -modfile=tools/go.mod golangci-lint run --allow-parallel-runners --build-tags crowd ./...
ci: ; .ci/run
demo: ; go run . demo

property: ; go test ./core/replica -run "TestGroupUnder" -count=1 -rapid.seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d " ") -rapid.checks=20000

# The soak's seeds that ever failed; all are run, then the number that failed again is shown.
soak: build ; @failed=0; while read -r seed length cause; do case $$seed in "#") continue;; esac; bin/rosereach soak --seed $$seed --for $$length 2>/dev/null || failed=$$((failed+1)); done <internal/soak/seeds.txt; echo "$$failed seeds failed"; [ $$failed -eq 0 ]

# The users' bench and their deployments, which stand beside the repository.
SYSTEM ?= ../given/kit/more/system
BENCH = $(SYSTEM)/more/bench-d17393/bin/fleetbench
SITES = further/curgere-ro further-grown/curgere-ro-grown large/vitrina-large grown/vitrina-grown grown/tos-rosereach-grown shifted/vitrina-now-grown demands/onef-froid-grown demands/ndiaye-archive-grown

regress: ; $(BENCH) score $(SITES:%=$(SYSTEM)/%.toml) --quick --jobs 3 --why "regression"
