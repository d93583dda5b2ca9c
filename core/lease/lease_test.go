package lease

import (
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

// The holder counts the lease from when it sent its request, less the drift, and
// accepts only the answer to its newest request, of the newest term.
func TestHolder(t *testing.T) {
	cfg := Config{Duration: 3 * time.Second, MaxClockDrift: 0.01}
	for _, tc := range []struct {
		name  string
		grant Grant
		live  time.Duration
	}{
		{"granted", Grant{Sequence: 2, Granted: true, Duration: 3 * time.Second, Term: 5}, 2970 * time.Millisecond},
		{"refused", Grant{Sequence: 2, Duration: 3 * time.Second, Term: 5}, 0},
		{"the answer to an older request", Grant{Sequence: 1, Granted: true, Duration: 3 * time.Second, Term: 5}, 0},
		{"an older leader's", Grant{Sequence: 2, Granted: true, Duration: 3 * time.Second, Term: 3}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := Holder{term: 4}
			h.StartRequest(epoch.Add(-time.Minute))
			h.StartRequest(epoch)
			h.Receive(cfg, tc.grant)
			if tc.live > 0 && !h.IsLive(epoch.Add(tc.live-1)) {
				t.Error("the lease ends early")
			}
			if h.IsLive(epoch.Add(tc.live)) {
				t.Error("the lease ends late")
			}
		})
	}
}

// The earlier run of a restarted entry may still hold its lease, so a change is in
// force only once that lease has ended too.
func TestInForceCountsEarlierRuns(t *testing.T) {
	g := NewGrantor(Config{Duration: 3 * time.Second})
	g.Grant(epoch, 1, 0, Request{Entry: "a", Incarnation: 1, Applied: 4})
	g.Grant(epoch.Add(time.Second), 1, 0, Request{Entry: "a", Incarnation: 2, Applied: 5})
	if g.InForce(epoch.Add(2*time.Second), 5) {
		t.Error("in force while the earlier run holds a lease at revision 4")
	}
	if !g.InForce(epoch.Add(3*time.Second), 5) {
		t.Error("not in force after the earlier run's lease")
	}
	if live := g.Live(epoch.Add(2 * time.Second)); len(live) != 1 || live[0].Incarnation != 2 {
		t.Errorf("live: %+v", live)
	}
	if late := g.Grant(epoch.Add(2*time.Second), 1, 0, Request{Entry: "a", Incarnation: 1, Applied: 5}); late.Granted {
		t.Error("the earlier run got a lease after the later one asked")
	}
}

// An entry that is behind a revision for too long gets no new lease, but the lease
// that it holds counts until its end.
func TestOverdue(t *testing.T) {
	g := NewGrantor(Config{Duration: 3 * time.Second})
	g.Grant(epoch, 1, 0, Request{Entry: "a", Applied: 4})
	if late := g.Grant(epoch.Add(time.Second), 1, 5, Request{Entry: "a", Applied: 4}); late.Granted {
		t.Error("granted behind an overdue revision")
	}
	if g.InForce(epoch.Add(2*time.Second), 5) || !g.InForce(epoch.Add(3*time.Second), 5) {
		t.Error("the first lease does not count until its end")
	}
}
