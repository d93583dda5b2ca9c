package test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"rosereach/core/request"
	"rosereach/io/caller"
)

// A completed POST request is sent again to an overloaded entry. The entry must not
// answer not_run, or the caller would send the request again under another id.
func TestRefusedResend(t *testing.T) {
	f := startFleet(t, 1)
	entry := startProcess(t, "entry", "--id", "entry-2", "--region", "central", "--availability-zone", "sanjose",
		"--controls", f.controls[0].address, "--member-key", f.memberKey, "--backend-key", f.backendKey,
		"--max-running", "1", "--max-waiting", "0")
	f.entries = append(f.entries, entry)
	f.startService("ledger-1", "ledger", "--answer-delay", "1s")
	key := f.setUpDocuments("small@v1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	post := func(entry int, id string) (caller.Reply, error) {
		return f.client(entry, key).Service(ctx, "ledger", http.MethodPost, "/x", []byte(`{}`), caller.CallOptions{RequestID: id})
	}
	if first, err := post(0, "posting"); err != nil || first.Outcome() != request.Done {
		t.Fatalf("posting: %+v, %v", first, err)
	}
	var busy sync.WaitGroup
	defer busy.Wait()
	defer cancel()
	busy.Go(func() { post(1, "long") })
	waitFor(t, "the full entry", func() bool { return len(f.runs("ledger-1")) == 2 })
	again, err := post(1, "posting")
	if err != nil {
		t.Fatal(err)
	}
	if again.Outcome() != request.Done || !again.Repeated {
		t.Errorf("resend of a done posting: %+v", again)
	}
	fresh, err := post(1, "fresh")
	if err != nil || fresh.Outcome() != request.NotRun || fresh.Problem.Code != request.CodeOverloaded {
		t.Errorf("new posting at the overloaded entry: %+v, %v", fresh, err)
	}
}

// An idempotent request is dispatched concurrently with its begin record, so it may
// run before the ledger knows it. An overloaded entry must not answer not_run to a
// copy of such a request, whatever the ledger contains.
func TestRefusedCopyOfIdempotentRequest(t *testing.T) {
	f := startFleet(t, 1)
	entry := startProcess(t, "entry", "--id", "entry-2", "--region", "central", "--availability-zone", "sanjose",
		"--controls", f.controls[0].address, "--member-key", f.memberKey, "--backend-key", f.backendKey,
		"--max-running", "1", "--max-waiting", "0")
	f.entries = append(f.entries, entry)
	f.startEngine("engine-1", "small@v1")
	key := f.setUpDocuments("small@v1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var busy sync.WaitGroup
	defer busy.Wait()
	defer cancel()
	busy.Go(func() {
		f.client(1, key).Chat(ctx, chat("auto", 100_000, true), caller.CallOptions{RequestID: "long"})
	})
	waitFor(t, "the full entry", func() bool { return len(f.runs("engine-1")) == 1 })
	copied, err := f.client(1, key).Chat(ctx, chat("auto", 4, false), caller.CallOptions{RequestID: "copy"})
	if err != nil || copied.Outcome() != request.Unknown || copied.Problem == nil || copied.Problem.Code != request.CodeOverloaded {
		t.Errorf("copy at the overloaded entry: %+v, %v", copied, err)
	}
}
