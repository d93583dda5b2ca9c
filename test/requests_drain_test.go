package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/juju/clock"

	"rosereach/core/request"
	"rosereach/internal/load"
	"rosereach/io/caller"
)

// traffic is a test's load: chats and POST requests sent by well-behaved callers.
type traffic struct {
	f       *fleet
	caller  *load.Caller
	stop    context.CancelFunc
	senders sync.WaitGroup

	mu     sync.Mutex
	finals map[string]load.Result
}

// startTraffic starts the given number of senders. Each sends requests one after
// another, alternating between chats and POST requests.
func startTraffic(f *fleet, key string, senders int) *traffic {
	ctx, stop := context.WithCancel(context.Background())
	tr := &traffic{f: f, stop: stop, finals: make(map[string]load.Result)}
	tr.caller = &load.Caller{Key: key, Region: "central", Zone: "sanjose", HTTP: &http.Client{}, Clock: clock.WallClock}
	for _, e := range f.entries {
		tr.caller.BootstrapEntries = append(tr.caller.BootstrapEntries, e.address)
	}
	for i := range senders {
		tr.senders.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				tr.send(fmt.Sprintf("sender-%d-%d", i, n), (i+n)%2 == 0)
			}
		})
	}
	return tr
}

func (tr *traffic) send(id string, posting bool) {
	opts := caller.CallOptions{RequestID: id}
	final := tr.caller.Do(context.Background(), func(ctx context.Context, c caller.Client) (caller.Reply, error) {
		if posting {
			return c.Service(ctx, "ledger", http.MethodPost, "/invoices", []byte(`{}`), opts)
		}
		return c.Chat(ctx, chat("small", 100, true), opts)
	})
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.finals[id] = final
}

// count returns the number of finished requests.
func (tr *traffic) count() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.finals)
}

// finish stops the load, waits for the running requests and returns the ids by
// outcome.
func (tr *traffic) finish() map[request.Outcome][]string {
	tr.stop()
	tr.senders.Wait()
	ended := make(map[request.Outcome][]string)
	for id, final := range tr.finals {
		ended[final.Outcome()] = append(ended[final.Outcome()], id)
	}
	return ended
}

// checkBilling checks the callers' answers against bills and run logs: no POST
// request runs twice, each done request has one bill, and no POST request answered
// as not_run has run.
func checkBilling(t *testing.T, f *fleet, tr *traffic) {
	t.Helper()
	billed := make(map[string]int)
	for after := uint64(0); ; {
		page, err := f.operator.Bills(context.Background(), after)
		if err != nil {
			t.Fatal(err)
		}
		if len(page) == 0 {
			break
		}
		for _, b := range page {
			billed[b.Key.RequestID]++
		}
		after = page[len(page)-1].Sequence
	}
	posted := make(map[string]int)
	for id := range f.backends {
		for _, r := range f.runs(id) {
			if r.Method != "" {
				posted[r.RequestID]++
			}
		}
	}
	for id, n := range posted {
		if n > 1 {
			t.Errorf("posting %s ran %d times", id, n)
		}
	}
	for id, final := range tr.finals {
		switch outcome := final.Outcome(); {
		case outcome == request.Done && billed[id] != 1:
			t.Errorf("%s is done with %d bills", id, billed[id])
		case outcome == request.NotRun && posted[id] > 0:
			t.Errorf("%s was answered as not_run, but ran", id)
		case final.IsTruncated():
			t.Errorf("the answer to %s was truncated without an error", id)
		}
	}
}

// A rolling restart of entries under load loses no request: all end done, and the
// entries exit with 0, even after a second SIGTERM.
func TestRollingRestartUnderLoad(t *testing.T) {
	f := startFleet(t, 3)
	f.startEngine("engine-1", "small@v1", "--capacity", "64")
	f.startService("ledger-1", "ledger")
	key := f.setUpDocuments("small@v1")
	tr := startTraffic(f, key, 12)
	waitFor(t, "load", func() bool { return tr.count() > 50 })
	for _, e := range f.entries[:2] {
		e.cmd.Process.Signal(syscall.SIGTERM)
		before := tr.count()
		waitFor(t, "work during the drain", func() bool { return tr.count() > before+20 })
		if code := e.terminate(); code != 0 {
			t.Errorf("exit code %d\n%s", code, e.stderr)
		}
		waitFor(t, "work after the drain", func() bool { return tr.count() > before+50 })
	}
	ended := tr.finish()
	if len(ended[request.NotRun])+len(ended[request.Unknown]) > 0 {
		for _, id := range append(ended[request.NotRun], ended[request.Unknown]...) {
			t.Errorf("%s: %+v %+v %v", id, tr.finals[id].Reply, tr.finals[id].Reply.Problem, tr.finals[id].Err)
		}
	}
	checkBilling(t, f, tr)
}

// A stream that is open when its entry gets SIGTERM is finished. Once the address
// list has expired, a new request is refused with not_run and the addresses of the
// other entries.
func TestDrainFinishesStreams(t *testing.T) {
	f := startFleet(t, 2)
	f.startEngine("engine-1", "small@v1", "--step-time", "10ms")
	key := f.setUpDocuments("small@v1")
	var (
		reply caller.Reply
		err   error
		sent  sync.WaitGroup
	)
	sent.Go(func() {
		reply, err = f.client(0, key).Chat(context.Background(), chat("small", 1000, true), caller.CallOptions{RequestID: "long"})
	})
	waitFor(t, "the run", func() bool { return len(f.runs("engine-1")) == 1 })
	f.entries[0].cmd.Process.Signal(syscall.SIGTERM)
	var refused caller.Reply
	waitFor(t, "a refusal", func() bool {
		var err error
		refused, err = f.client(0, key).Chat(context.Background(), chat("small", 1, true), caller.CallOptions{})
		return err == nil && refused.Problem != nil
	})
	p := refused.Problem
	if p.Outcome != request.NotRun || p.Code != request.CodeDraining || len(p.Addresses) != 1 || p.Addresses[0] != f.entries[1].address {
		t.Errorf("refusal by a draining entry: %+v", p)
	}
	f.entries[0].cmd.Process.Signal(syscall.SIGTERM)
	if code := f.entries[0].terminate(); code != 0 {
		t.Errorf("exit code %d\n%s", code, f.entries[0].stderr)
	}
	sent.Wait()
	if err != nil || !reply.Complete || reply.Tokens != 1000 {
		t.Errorf("stream during the drain: whole %v, %d tokens, %+v, %v", reply.Complete, reply.Tokens, reply.Problem, err)
	}
	waitFor(t, "one entry with a lease", func() bool {
		s, err := f.operator.Status(context.Background())
		return err == nil && len(s.Entries) == 1
	})
}
