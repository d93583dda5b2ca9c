package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"rosereach/core/request"
	"rosereach/io/caller"
)

// A posting that was done is sent again to an entry that is full. Its refusal
// must not say that the posting did not run: a caller who believes it would
// post anew under another id.
func TestRefusedResend(t *testing.T) {
	f := startFleet(t, 1)
	entry := start(t, "entry", "--id", "entry-2", "--region", "central", "--availability-zone", "sanjose",
		"--controls", f.controls[0].address, "--member-key", f.memberKey, "--backend-key", f.backendKey,
		"--max-running", "1", "--max-waiting", "0")
	f.entries = append(f.entries, entry)
	f.startEngine("engine-1", "small@v1", "--step-time", "20ms")
	f.startService("ledger-1", "ledger")
	key := f.setUp("small@v1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	post := func(entry int) (caller.Reply, error) {
		return f.client(entry, key).Service(ctx, "ledger", http.MethodPost, "/x", []byte(`{}`), caller.CallOptions{RequestID: "posting"})
	}
	if first, err := post(0); err != nil || first.Outcome() != request.Done {
		t.Fatalf("posting: %+v, %v", first, err)
	}
	var busy sync.WaitGroup
	defer busy.Wait()
	defer cancel()
	busy.Go(func() { f.client(1, key).Chat(ctx, chat("small", 1000, true), caller.CallOptions{RequestID: "long"}) })
	waitFor(t, "the full entry", func() bool { return len(f.runs("engine-1")) == 1 })
	again, err := post(1)
	if err != nil {
		t.Fatal(err)
	}
	if again.Outcome() == request.NotRun {
		t.Errorf("the resend of a done posting: %s", fmt.Sprint(again.Problem))
	}
}
