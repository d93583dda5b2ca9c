package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rosereach/core/catalog"
	"rosereach/core/drain"
	"rosereach/core/ledger"
	"rosereach/core/request"
	"rosereach/core/state"
	"rosereach/core/version"
	"rosereach/internal/fault"
	"rosereach/io/caller"
)

func chatOf(tokens int64) caller.ChatRequest {
	return caller.ChatRequest{
		Model: "small", MaxTokens: tokens, Stream: true, Messages: []request.Message{{Role: "user", Content: "Summarise the berth log."}},
	}
}

// checkText fails unless the text has the given number of tokens, in order and
// from the given number of runs.
func checkText(t *testing.T, text string, tokens, runs int) {
	t.Helper()
	from := make(map[string]bool)
	words := strings.Fields(text)
	for i, word := range words {
		parts := strings.Split(word, ".")
		if len(parts) != 3 || parts[0] != fmt.Sprintf("t%d", i) {
			t.Fatalf("token %d is %q", i, word)
		}
		from[parts[2]] = true
	}
	if len(words) != tokens || len(from) != runs {
		t.Errorf("%d tokens from %d runs, want %d from %d", len(words), len(from), tokens, runs)
	}
}

// A request sent concurrently to three entries under the same ID runs once, is
// billed once, and all three return its answer.
func TestSameIDAtThreeEntries(t *testing.T) {
	f := newFleet(t, 3)
	f.startEngine("engine-1", time.Millisecond)
	f.startService("ledger-1")
	f.proxies["ledger-1"].SetPlan(fault.Plan{Delay: 30 * time.Millisecond})
	for _, tc := range []struct {
		name string
		send func(caller.Client, string) (caller.Reply, error)
	}{
		{"posting", func(c caller.Client, id string) (caller.Reply, error) {
			return c.Service(f.ctx, "ledger", http.MethodPost, "/invoices", []byte(`{}`), caller.CallOptions{RequestID: id})
		}},
		{"chat", func(c caller.Client, id string) (caller.Reply, error) {
			return c.Chat(f.ctx, chatOf(30), caller.CallOptions{RequestID: id})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var (
				all     sync.WaitGroup
				replies [3]caller.Reply
				errs    [3]error
			)
			for i := range replies {
				all.Go(func() { replies[i], errs[i] = tc.send(f.client(i), tc.name) })
			}
			all.Wait()
			for i, r := range replies {
				if errs[i] != nil || r.Outcome() != request.Done || r.Text != replies[0].Text {
					t.Errorf("entry %d: %+v, %v", i+1, r, errs[i])
				}
			}
			if n := f.bills()[tc.name]; n != 1 {
				t.Errorf("%d bills", n)
			}
			if runs := f.services["ledger-1"].Log.ByRequest("posting"); len(runs) != 1 {
				t.Errorf("runs of the posting: %+v", runs)
			}
		})
	}
}

// A resend at the same entry joins the running request and gets its complete
// answer, also after the end. The ID with another body is refused.
func TestResendJoins(t *testing.T) {
	f := newFleet(t, 1)
	f.startEngine("engine-1", 2*time.Millisecond)
	var (
		both    sync.WaitGroup
		replies [2]caller.Reply
	)
	both.Go(func() { replies[0], _ = f.client(0).Chat(f.ctx, chatOf(100), caller.CallOptions{RequestID: "a"}) })
	waitFor(t, "the first run", func() bool { return f.engines["engine-1"].InFlight() == 1 })
	other, err := f.client(0).Chat(f.ctx, chatOf(50), caller.CallOptions{RequestID: "a"})
	if err != nil || other.Problem == nil || other.Problem.Code != request.CodeIDReused || other.Problem.Outcome != request.NotRun {
		t.Errorf("other body: %+v, %v", other, err)
	}
	both.Go(func() { replies[1], _ = f.client(0).Chat(f.ctx, chatOf(100), caller.CallOptions{RequestID: "a"}) })
	both.Wait()
	for _, r := range replies {
		if !r.Complete {
			t.Fatalf("reply: %+v", r)
		}
		checkText(t, r.Text, 100, 1)
	}
	if runs := f.engines["engine-1"].Log.ByRequest("a"); len(runs) != 1 || f.bills()["a"] != 1 {
		t.Errorf("runs %+v, bills %d", runs, f.bills()["a"])
	}
	again, err := f.client(0).Chat(f.ctx, chatOf(100), caller.CallOptions{RequestID: "a"})
	if err != nil || !again.Complete || again.Text != replies[0].Text {
		t.Errorf("resend after the end: %+v, %v", again, err)
	}
}

// When the connection to an engine breaks, the stream is resumed at the engine,
// continued at another one, or cut off with outcome unknown.
func TestBrokenStream(t *testing.T) {
	for _, tc := range []struct {
		name    string
		engines int
		gone    bool
		whole   bool
		runs    int
	}{
		{"resumed at its engine", 2, false, true, 1},
		{"continued at another engine", 2, true, true, 2},
		{"no other engine", 1, true, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 1)
			for i := range tc.engines {
				f.startEngine(fmt.Sprintf("engine-%d", i+1), 2*time.Millisecond)
			}
			var (
				reply caller.Reply
				err   error
				sent  sync.WaitGroup
			)
			sent.Go(func() { reply, err = f.client(0).Chat(f.ctx, chatOf(200), caller.CallOptions{RequestID: "a"}) })
			var at string
			waitFor(t, "some tokens", func() bool {
				for id, e := range f.engines {
					if e.InFlight() == 1 && f.entries[0].tokensOf("a") > 20 {
						at = id
					}
				}
				return at != ""
			})
			f.proxies[at].SetPlan(fault.Plan{RefuseNew: tc.gone})
			f.proxies[at].Reset()
			sent.Wait()
			if err != nil || reply.Complete != tc.whole {
				t.Fatalf("reply: %+v, %v", reply, err)
			}
			if !tc.whole {
				if reply.Problem == nil || reply.Problem.Outcome != request.Unknown || f.bills()["a"] != 0 {
					t.Errorf("cut answer: %+v, %d bills", reply.Problem, f.bills()["a"])
				}
				return
			}
			checkText(t, reply.Text, 200, tc.runs)
			if f.bills()["a"] != 1 || reply.Tokens != 200 {
				t.Errorf("%d bills, %d tokens", f.bills()["a"], reply.Tokens)
			}
		})
	}
}

// tokensOf returns the number of tokens received for the request.
func (e *Entry) tokensOf(id string) int64 {
	e.executions.mu.Lock()
	defer e.executions.mu.Unlock()
	for key, x := range e.executions.byKey {
		if key.RequestID == id {
			return x.tokenCount()
		}
	}
	return 0
}

// When the caller disconnects, a model request is canceled at the engine, while a
// call that is not idempotent runs to its end and is billed.
func TestCallerGone(t *testing.T) {
	f := newFleet(t, 1)
	f.startEngine("engine-1", 2*time.Millisecond)
	f.startService("ledger-1")
	f.proxies["ledger-1"].SetPlan(fault.Plan{Delay: 100 * time.Millisecond})
	ctx, leave := context.WithCancel(f.ctx)
	var gone sync.WaitGroup
	gone.Go(func() { f.client(0).Chat(ctx, chatOf(100_000), caller.CallOptions{RequestID: "chat"}) })
	gone.Go(func() {
		f.client(0).Service(ctx, "ledger", http.MethodPost, "/invoices", []byte(`{}`), caller.CallOptions{RequestID: "posting"})
	})
	waitFor(t, "both begun", func() bool {
		_, chat := f.record("chat")
		_, posting := f.record("posting")
		return chat && posting && f.entries[0].tokensOf("chat") > 0
	})
	leave()
	gone.Wait()
	waitFor(t, "both ended", func() bool {
		chat, _ := f.record("chat")
		posting, _ := f.record("posting")
		return chat.Answer != nil && posting.Answer != nil
	})
	chat, _ := f.record("chat")
	posting, _ := f.record("posting")
	if chat.Answer.Outcome != request.Unknown || chat.Answer.Code != request.CodeCallerGone || posting.Answer.Outcome != request.Done {
		t.Errorf("recorded: %+v, %+v", chat.Answer, posting.Answer)
	}
	waitFor(t, "the engine is idle", func() bool { return f.engines["engine-1"].InFlight() == 0 })
	if f.bills()["chat"] != 0 || f.bills()["posting"] != 1 {
		t.Errorf("bills: %v", f.bills())
	}
}

// A caller that stops reading delays neither the engine nor the bill.
func TestSlowCaller(t *testing.T) {
	f := newFleet(t, 1)
	f.startEngine("engine-1", 50*time.Microsecond)
	slow := f.proxy(f.addrs[0])
	var sent sync.WaitGroup
	client := f.client(0)
	client.Address = slow.Address()
	var reply caller.Reply
	sent.Go(func() { reply, _ = client.Chat(f.ctx, chatOf(20_000), caller.CallOptions{RequestID: "a"}) })
	waitFor(t, "some tokens", func() bool { return f.entries[0].tokensOf("a") > 0 })
	slow.SetPlan(fault.Plan{Blackhole: true})
	waitFor(t, "the bill", func() bool { return f.bills()["a"] == 1 })
	slow.SetPlan(fault.Plan{})
	sent.Wait()
	if !reply.Complete {
		t.Fatalf("reply: %+v", reply.Problem)
	}
	checkText(t, reply.Text, 20_000, 1)
}

// An end record that cannot be delivered because the control is unreachable is
// delivered once it is reachable again.
func TestBillAfterCutFromControl(t *testing.T) {
	f := newFleet(t, 1)
	f.startService("ledger-1")
	f.proxies["ledger-1"].SetPlan(fault.Plan{Delay: 100 * time.Millisecond})
	var (
		reply caller.Reply
		sent  sync.WaitGroup
	)
	sent.Go(func() {
		reply, _ = f.client(0).Service(f.ctx, "ledger", http.MethodPost, "/x", nil, caller.CallOptions{RequestID: "a", Timeout: 2 * time.Second})
	})
	waitFor(t, "the run", func() bool { return len(f.services["ledger-1"].Log.ByRequest("a")) == 1 })
	f.controlProxy.SetPlan(fault.Plan{RefuseNew: true})
	f.controlProxy.Reset()
	sent.Wait()
	if reply.Problem == nil || reply.Problem.Code != request.CodeLedgerUnavailable || reply.Problem.Outcome != request.Unknown {
		t.Errorf("reply during the cut: %+v", reply)
	}
	f.controlProxy.SetPlan(fault.Plan{})
	waitFor(t, "the bill", func() bool { return f.bills()["a"] == 1 })
	waitFor(t, "a lease", f.entries[0].Ready)
	// Until the entry has the ledger's reply, a resend gets CodeLedgerUnavailable.
	waitFor(t, "the recorded answer", func() bool {
		again, err := f.client(0).Service(f.ctx, "ledger", http.MethodPost, "/x", nil, caller.CallOptions{RequestID: "a"})
		if err != nil || (again.Problem != nil && again.Problem.Code != request.CodeLedgerUnavailable) {
			t.Fatalf("resend: %+v, %v", again, err)
		}
		return again.Outcome() == request.Done && again.Repeated
	})
	if runs := f.services["ledger-1"].Log.ByRequest("a"); len(runs) != 1 {
		t.Errorf("runs: %+v", runs)
	}
}

// A request that fails is answered with a Retry-After time as soon as no attempt
// is left, not at its deadline.
func TestFinalAnswerAtOnce(t *testing.T) {
	f := newFleet(t, 1)
	f.startEngine("engine-1", time.Millisecond)
	f.proxies["engine-1"].SetPlan(fault.Plan{ResetAfterBytes: -1})
	for _, tc := range []struct {
		name    string
		send    func() (caller.Reply, error)
		code    request.Code
		outcome request.Outcome
	}{
		{"no service", func() (caller.Reply, error) {
			return f.client(0).Service(f.ctx, "ledger", http.MethodPost, "/x", nil, caller.CallOptions{RequestID: "a"})
		}, request.CodeNoBackend, request.NotRun},
		{"engine resets", func() (caller.Reply, error) {
			return f.client(0).Chat(f.ctx, chatOf(10), caller.CallOptions{RequestID: "b"})
		}, request.CodeBackendFailed, request.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			reply, err := tc.send()
			if err != nil || reply.Problem == nil || reply.Problem.Code != tc.code || reply.Problem.Outcome != tc.outcome {
				t.Fatalf("reply: %+v %+v, %v", reply, reply.Problem, err)
			}
			if reply.Problem.RetryAfterMs <= 0 {
				t.Error("no Retry-After time")
			}
		})
	}
}

// A backend server that announces itself to one entry is used by all entries. When
// it leaves, all of them stop sending it requests within its lease.
func TestAnnouncementsAreRelayed(t *testing.T) {
	f := newFleet(t, 3)
	f.startEngine("engine-1", time.Millisecond)
	for i := range f.entries {
		reply, err := f.client(i).Chat(f.ctx, chatOf(5), caller.CallOptions{})
		if err != nil || !reply.Complete {
			t.Errorf("entry %d: %+v, %v", i+1, reply.Problem, err)
		}
	}
	f.engines["engine-1"].Leave()
	for _, e := range f.entries {
		waitFor(t, "the end of requests at "+e.cfg.ID, func() bool { return !e.mayUseServer("engine-1") })
	}
	runs := len(f.engines["engine-1"].Log.Runs())
	for i := range f.entries {
		reply, err := f.client(i).Chat(f.ctx, chatOf(5), caller.CallOptions{})
		if err != nil || reply.Problem == nil || reply.Problem.Outcome != request.NotRun {
			t.Errorf("entry %d after leaving: %+v, %v", i+1, reply, err)
		}
	}
	if n := len(f.engines["engine-1"].Log.Runs()); n != runs {
		t.Errorf("%d runs after leaving", n-runs)
	}
}

// An entry that has lost its lease refuses requests and lists no addresses as
// current. It returns not_run only if it generated the request's ID itself, as it
// cannot query the ledger about an ID that the caller chose.
func TestNoLease(t *testing.T) {
	f := newFleet(t, 2)
	f.startService("ledger-1")
	list, err := f.client(0).FindAddresses(f.ctx, "", "")
	if err != nil || list.TTLMs == 0 || len(list.Addresses) == 0 {
		t.Fatalf("addresses with a lease: %+v, %v", list, err)
	}
	f.controlProxy.SetPlan(fault.Plan{RefuseNew: true})
	f.controlProxy.Reset()
	waitFor(t, "the end of the lease", func() bool { return !f.entries[0].Ready() })
	resp, err := http.Get("http://" + f.addrs[0] + "/v1/addresses")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(caller.HeaderOutcome) != string(request.NotRun) {
		t.Errorf("addresses without a lease: status %d", resp.StatusCode)
	}
	for id, want := range map[string]request.Outcome{"": request.NotRun, "a": request.Unknown} {
		reply, err := f.client(0).Service(f.ctx, "ledger", http.MethodPost, "/x", nil, caller.CallOptions{RequestID: id})
		if err != nil || reply.Problem == nil || reply.Problem.Code != request.CodeNoLease || reply.Problem.Outcome != want {
			t.Errorf("call %q without a lease: %+v, %v", id, reply.Problem, err)
		}
		if reply.Problem != nil && len(reply.Problem.Addresses) == 0 {
			t.Errorf("call %q without a lease: no addresses", id)
		}
	}
	if runs := f.services["ledger-1"].Log.Runs(); len(runs) != 0 {
		t.Errorf("runs: %+v", runs)
	}
}

// A resend of a completed call to a draining entry returns the recorded answer,
// never not_run.
func TestResendWhileDraining(t *testing.T) {
	f := newFleet(t, 1)
	f.startService("ledger-1")
	send := func(id string) caller.Reply {
		reply, err := f.client(0).Service(f.ctx, "ledger", http.MethodPost, "/x", nil, caller.CallOptions{RequestID: id})
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	if first := send("a"); first.Outcome() != request.Done {
		t.Fatalf("posting: %+v", first.Problem)
	}
	f.entries[0].stopping.begin(drain.Settings{}.Begin(time.Now()))
	if again := send("a"); again.Outcome() != request.Done || !again.Repeated {
		t.Errorf("resend: %+v, %+v", again, again.Problem)
	}
	if other := send("b"); other.Problem == nil || other.Problem.Code != request.CodeDraining || other.Problem.Outcome != request.NotRun {
		t.Errorf("new posting: %+v", other.Problem)
	}
	if runs := f.services["ledger-1"].Log.Runs(); len(runs) != 1 {
		t.Errorf("runs: %+v", runs)
	}
}

// An answer that was complete before the ledger gave the request to this entry is
// shown in full. This happens when another entry began the request and is gone
// without an answer.
func TestAnswerBeforeOwnership(t *testing.T) {
	f := newFleet(t, 1)
	f.startEngine("engine-1", time.Millisecond)
	body, err := json.Marshal(chatOf(5))
	if err != nil {
		t.Fatal(err)
	}
	ghost := ledger.Owner{Entry: "ghost", Incarnation: 1}
	begin := ledger.Begin{
		Key: ledger.Key{Workspace: "terminalna", RequestID: "a"}, Owner: ghost, Idempotent: true, At: time.Now(),
		BodyHash: bodyHash(request.Request{Kind: request.Model, Model: "small", Body: body}),
	}
	if _, err := f.control.Propose(f.ctx, state.Command{Begin: &begin}); err != nil {
		t.Fatal(err)
	}
	index := func() (i uint64) {
		f.control.View(func(s *state.State) { i = s.Index() })
		return i
	}
	before := index()
	f.controlProxy.SetPlan(fault.Plan{Delay: 50 * time.Millisecond})
	var (
		reply caller.Reply
		sent  sync.WaitGroup
	)
	sent.Go(func() { reply, err = f.client(0).Chat(f.ctx, chatOf(5), caller.CallOptions{RequestID: "a"}) })
	waitFor(t, "the whole run", func() bool {
		runs := f.engines["engine-1"].Log.ByRequest("a")
		return len(runs) == 1 && runs[0].Completed
	})
	waitFor(t, "the begin record", func() bool { return index() > before })
	settle := state.CloseOwner{Owner: ghost, At: time.Now()}
	if _, err := f.control.Propose(f.ctx, state.Command{CloseOwner: &settle}); err != nil {
		t.Fatal(err)
	}
	sent.Wait()
	if err != nil || !reply.Complete || reply.Tokens != 5 || f.bills()["a"] != 1 {
		t.Fatalf("reply: %+v, %v", reply, err)
	}
	checkText(t, reply.Text, 5, 1)
}

// A resend of a completed request returns the recorded answer, never not_run, also
// after its version was withdrawn or its service removed from the template.
func TestResendAfterPermissionEnded(t *testing.T) {
	f := newFleet(t, 1)
	f.startEngine("engine-1", time.Millisecond)
	f.startService("ledger-1")
	send := func(kind request.Kind, id string) caller.Reply {
		var (
			reply caller.Reply
			err   error
		)
		if kind == request.Model {
			reply, err = f.client(0).Chat(f.ctx, chatOf(5), caller.CallOptions{RequestID: id})
		} else {
			reply, err = f.client(0).Service(f.ctx, "ledger", http.MethodPost, "/x", nil, caller.CallOptions{RequestID: id})
		}
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	kinds := []request.Kind{request.Model, request.Plain}
	for _, kind := range kinds {
		if first := send(kind, "old-"+string(kind)); first.Outcome() != request.Done {
			t.Fatalf("%s: %+v", kind, first.Problem)
		}
	}
	e := f.entries[0]
	docs := e.catalog.Load().Documents().Clone()
	for name, v := range docs.Versions {
		v.State = version.Withdrawn
		docs.Versions[name] = v
	}
	clear(docs.Services)
	e.catalog.Store(catalog.New(docs))
	for _, kind := range kinds {
		if again := send(kind, "old-"+string(kind)); again.Outcome() != request.Done {
			t.Errorf("%s sent again: %+v", kind, again.Problem)
		}
		if fresh := send(kind, "new-"+string(kind)); fresh.Outcome() != request.NotRun {
			t.Errorf("new %s: %+v", kind, fresh)
		}
	}
}

// A resend whose ledger reply does not come in time is never refused as not_run: the
// request may have run before. A request whose ID the entry generated is.
func TestResendWithoutLedgerReply(t *testing.T) {
	for _, tc := range []struct {
		name     string
		kind     request.Kind
		withdraw bool
		code     request.Code
	}{
		{"chat on a withdrawn version", request.Model, true, request.CodeWithdrawn},
		{"call at its deadline", request.Plain, false, request.CodeDeadlinePassed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.startEngine("engine-1", time.Millisecond)
			f.startService("ledger-1")
			send := func(id string, timeout time.Duration) caller.Reply {
				opts := caller.CallOptions{RequestID: id, Timeout: timeout}
				var (
					reply caller.Reply
					err   error
				)
				if tc.kind == request.Model {
					body := chatOf(5)
					body.Model = "small@v1"
					reply, err = f.client(0).Chat(f.ctx, body, opts)
				} else {
					reply, err = f.client(0).Service(f.ctx, "ledger", http.MethodPost, "/x", nil, opts)
				}
				if err != nil {
					t.Fatal(err)
				}
				return reply
			}
			if first := send("a", 0); first.Outcome() != request.Done {
				t.Fatalf("first: %+v", first.Problem)
			}
			if tc.withdraw {
				e := f.entries[0]
				docs := e.catalog.Load().Documents().Clone()
				for name, v := range docs.Versions {
					v.State = version.Withdrawn
					docs.Versions[name] = v
				}
				e.catalog.Store(catalog.New(docs))
			}
			f.controlProxy.SetPlan(fault.Plan{Blackhole: true})
			timeout := 2 * ownershipTimeout
			for id, want := range map[string]request.Outcome{"a": request.Unknown, "": request.NotRun} {
				p := send(id, timeout).Problem
				if p == nil || p.Outcome != want || p.Code != tc.code {
					t.Errorf("id %q: %+v", id, p)
				}
				if p != nil && id != "" && p.RetryAfterMs <= 0 {
					t.Error("no Retry-After time")
				}
			}
			f.controlProxy.SetPlan(fault.Plan{})
			waitFor(t, "the recorded answer", func() bool { return send("a", 0).Outcome() == request.Done })
			runs := append(f.engines["engine-1"].Log.ByRequest("a"), f.services["ledger-1"].Log.ByRequest("a")...)
			if n := f.bills()["a"]; n != 1 || len(runs) != 1 {
				t.Errorf("%d bills, runs %+v", n, runs)
			}
		})
	}
}

// A request that ran with an unknown outcome is not refused as not_run when it is sent
// again and no backend server can take it.
func TestResendAfterUnknown(t *testing.T) {
	f := newFleet(t, 1)
	f.startEngine("engine-1", time.Millisecond)
	f.proxies["engine-1"].SetPlan(fault.Plan{ResetAfterBytes: -1})
	send := func(id string) *caller.Problem {
		reply, err := f.client(0).Chat(f.ctx, chatOf(10), caller.CallOptions{RequestID: id})
		if err != nil || reply.Problem == nil {
			t.Fatalf("reply: %+v, %v", reply, err)
		}
		return reply.Problem
	}
	if p := send("a"); p.Outcome != request.Unknown || len(f.engines["engine-1"].Log.ByRequest("a")) == 0 {
		t.Fatalf("first: %+v", p)
	}
	waitFor(t, "the end record", func() bool {
		r, ok := f.record("a")
		return ok && r.Answer != nil
	})
	f.engines["engine-1"].Leave()
	waitFor(t, "the server's leave", func() bool { return !f.entries[0].mayUseServer("engine-1") })
	for id, want := range map[string]request.Outcome{"a": request.Unknown, "b": request.NotRun} {
		for range 2 {
			if p := send(id); p.Outcome != want || p.Code != request.CodeNoBackend {
				t.Errorf("%s: %s, %s", id, p.Outcome, p)
			}
		}
	}
}

// Drain succeeds even if the control is unreachable and the lease cannot be
// released.
func TestDrainWithoutControl(t *testing.T) {
	f := newFleet(t, 1)
	waitFor(t, "a lease", f.entries[0].Ready)
	f.controlProxy.SetPlan(fault.Plan{Blackhole: true})
	if err := f.entries[0].Drain(f.ctx); err != nil {
		t.Errorf("drain: %v", err)
	}
}
