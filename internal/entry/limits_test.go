package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"rosereach/core/forward"
	"rosereach/core/pacing"
	"rosereach/core/route"
)

// limitAll makes the entry believe that a server named a limit.
func (r *harness) limitAll(perSecond float64, servers ...string) {
	f := r.entry.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range servers {
		f.limiter.Hear(time.Now(), id, 1, time.Now(), pacing.Statement{Kind: pacing.Limited, PerSecond: perSecond})
	}
}

// When all servers of a service have named limits, what is beyond them is rejected at once
// as not run, and the callers are told to come back one after the other.
func TestRequestsBeyondAllLimitsAreSpread(t *testing.T) {
	r := newHarness(t)
	r.plan()
	a, b := r.counted("a", succeed), r.counted("b", succeed)
	r.limitAll(1, "a", "b")
	start := time.Now()
	var waits []time.Duration
	for range 20 {
		_, err := r.send(route.Safe)
		failure, ok := asFailure(err)
		if !ok || failure.Code != forward.NoServer || failure.RetryAfter <= 0 {
			t.Fatalf("%v", err)
		}
		waits = append(waits, failure.RetryAfter)
	}
	if took := time.Since(start); took > time.Second || a.n.Load()+b.n.Load() > 0 {
		t.Errorf("%d requests arrived, %v for 20 rejections", a.n.Load()+b.n.Load(), took)
	}
	if first, last := waits[0], waits[len(waits)-1]; last <= first {
		t.Errorf("the first caller returns after %v, the last after %v", first, last)
	}
}

// An attempt that finds no connection gives its place back, and a request goes to a server
// without a limit meanwhile.
func TestUnsentAttemptGivesPlaceBack(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.server("free", succeed)
	r.limitAll(1, "limited")
	f := r.entry.forwarder
	if _, err := r.sendWith(context.Background(), forward.Request{Path: "/safe/", Key: "k"}); err != nil {
		t.Fatal(err)
	}
	a := &attempt{}
	a.server.ID, a.server.Incarnation = "limited", 1
	f.mu.Lock()
	now := time.Now().Add(time.Minute)
	taken, ok := f.limiter.Take(now, "limited", 1)
	again, more := f.limiter.Take(now, "limited", 1)
	f.mu.Unlock()
	if !taken || !ok || again || more {
		t.Fatalf("places: %v %v, %v %v", taken, ok, again, more)
	}
	a.paced = taken
	f.returnPlace(a)
	f.returnPlace(a)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.limiter.Allows(now, "limited", 1) {
		t.Error("the place is not given back")
	}
	if f.limiter.Take(now, "limited", 1); f.limiter.Allows(now, "limited", 1) {
		t.Error("it is given back twice")
	}
}

// A status need not repeat the limit of the server that is asked.
func TestStatusEndsNoLimit(t *testing.T) {
	r := newHarness(t)
	r.server("a", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("1 0")) })
	r.limitAll(1, "a")
	f := r.entry.forwarder
	rec, _ := f.roster.Find("a")
	f.entry.cfg.Forwarding.Dialect = unlimitedDialect{}
	if _, err := f.fetchStatus(context.Background(), rec.Server, "id"); err != nil {
		t.Fatal(err)
	}
	if !f.isLimited(rec.Server) {
		t.Error("a status without a limit ends it")
	}
}

// unlimitedDialect reads every answer as one without a limit.
type unlimitedDialect struct{ testDialect }

func (d unlimitedDialect) Head(status int, header map[string][]string) forward.Head {
	h := d.testDialect.Head(status, header)
	h.Limit = pacing.Statement{Kind: pacing.Unlimited}
	return h
}
