package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/rollout"
	"rosereach/core/roster"
	"rosereach/core/route"
)

// rolloutFleet is one entry, and a server of each release that counts its requests.
type rolloutFleet struct {
	*harness

	mu  sync.Mutex
	got []string // the releases that got the requests
}

func newRolloutFleet(t *testing.T, releases ...string) *rolloutFleet {
	f := &rolloutFleet{harness: newHarness(t)}
	f.plan()
	for _, release := range releases {
		f.server(release, func(w http.ResponseWriter, req *http.Request) {
			f.mu.Lock()
			f.got = append(f.got, release)
			f.mu.Unlock()
			succeed(w, req)
		})
		address := ""
		for _, r := range f.entry.forwarder.roster.All() {
			if r.Server.ID == release {
				address = r.Server.Address
			}
		}
		a := backend.Announcement{ID: release, Incarnation: 1, Sequence: 2, Service: "s", Address: address, Capacity: 100, State: backend.Serving, Region: "r", Zone: "z", Release: release}
		f.entry.forwarder.updateRoster(f.entry.cfg.Clock.Now(), roster.Delta{Records: []roster.Record{{Server: a}}})
	}
	return f
}

// put puts a state of the service's roll-out into force.
func (f *rolloutFleet) put(o rollout.Order) {
	docs := f.entry.catalog.Load().Documents()
	docs.Rollouts = map[string]rollout.Order{"s": o}
	docs.Revision++
	f.entry.applyDocuments(&docs)
}

// sendAll sends n requests, each of another session, and returns the releases that got them.
func (f *rolloutFleet) sendAll(t *testing.T, n int) []string {
	t.Helper()
	f.got = nil
	for i := range n {
		req := forward.Request{Path: "/" + string(route.Safe) + "/x", Key: "k", Session: fmt.Sprint("session ", i)}
		if _, err := f.sendWith(t.Context(), req); err != nil {
			t.Fatal(err)
		}
	}
	return f.got
}

// A release that was rolled back got requests, also those of sessions of the old release, as
// soon as the next roll-out was ordered while its servers still drained.
func TestRolledBackReleaseGetsNothingInNextRollout(t *testing.T) {
	first := rollout.Order{Service: "s", Target: "v2", Stage: rollout.StageRolledBack}
	for _, stage := range []rollout.Stage{
		rollout.StageOrdered, rollout.StageProbe, rollout.StageCanary, rollout.StageSpread, rollout.StageFull, rollout.StageCompleted, rollout.StageRolledBack,
	} {
		f := newRolloutFleet(t, "v1", "v2", "v3")
		f.put(rollout.Order{Service: "s", Target: "v3", Stage: stage, RolledBack: first.NotCompleted("v3")})
		for i := range 60 {
			x := &activeRequest{forwarder: f.entry.forwarder, service: "s", route: route.Route{Name: "safe"}}
			if i%2 == 0 {
				x.req.Session = fmt.Sprint("session ", i)
			}
			f.entry.forwarder.mu.Lock()
			list, others := f.entry.forwarder.assignedServers(f.entry.cfg.Clock.Now(), x)
			f.entry.forwarder.mu.Unlock()
			for _, r := range append(list, others...) {
				if r.Server.Release == "v2" {
					t.Fatalf("stage %s, session %q: a release that was rolled back may get the request", stage, x.req.Session)
				}
			}
		}
	}
}

// Requests of a session stay at the old release until the canary begins, and those that have
// moved to the target stay there until the end or a roll-back, whatever the shares are.
func TestSessionKeepsItsReleaseThroughStages(t *testing.T) {
	const sessions = 60
	f := newRolloutFleet(t, "v1", "v2")
	var before []string
	for _, o := range []rollout.Order{
		{Stage: rollout.StageOrdered},
		{Stage: rollout.StageProbe, Share: 1, RouteShares: map[string]float64{"safe": 1}},
		{Stage: rollout.StageCanary, Share: 0.2, RouteShares: map[string]float64{"safe": 0.5}},
		{Stage: rollout.StageCanary, Share: 0.2, RouteShares: map[string]float64{"safe": 0}},
		{Stage: rollout.StageSpread, Share: 0.2, RouteShares: map[string]float64{"safe": 0.9}},
		{Stage: rollout.StageFull},
		{Stage: rollout.StageCompleted},
	} {
		o.Service, o.Target = "s", "v2"
		f.put(o)
		got := f.sendAll(t, sessions)
		for i, release := range got {
			switch {
			case release == "v2" && (o.Stage == rollout.StageOrdered || o.Stage == rollout.StageProbe):
				t.Errorf("stage %s: a session moves in the first half", o.Stage)
			case release == "v1" && before != nil && before[i] == "v2":
				t.Errorf("stage %s: session %d moves back", o.Stage, i)
			}
		}
		before = got
	}
}

// Entries learn of a stage at different times. A session that has moved to the target at one
// entry must not move back at another that does not know the stage yet: not in one order, and
// not in the next one after a roll-back, when it goes back to the old release once.
func TestSessionKeepsItsReleaseAcrossEntries(t *testing.T) {
	const sessions = 60
	rolledBack := rollout.Order{Target: "v2", Stage: rollout.StageRolledBack}
	stages := []rollout.Order{
		{Target: "v2", Stage: rollout.StageOrdered},
		{Target: "v2", Stage: rollout.StageCanary},
		{Target: "v2", Stage: rollout.StageSpread},
		rolledBack,
		{Target: "v3", Stage: rollout.StageOrdered},
		{Target: "v3", Stage: rollout.StageCanary},
		{Target: "v3", Stage: rollout.StageSpread},
		{Target: "v3", Stage: rollout.StageFull},
		{Target: "v3", Stage: rollout.StageCompleted},
	}
	first, second := newRolloutFleet(t, "v1", "v2", "v3"), newRolloutFleet(t, "v1", "v2", "v3")
	put := func(f *rolloutFleet, o rollout.Order) {
		o.Service = "s"
		if o.Target == "v3" {
			o.RolledBack = rolledBack.NotCompleted("v3")
		}
		f.put(o)
	}
	put(second, stages[0])
	for i, o := range stages {
		put(first, o)
		early, late := first.sendAll(t, sessions), second.sendAll(t, sessions)
		var movedBack int
		for n := range early {
			if early[n] == o.Target && late[n] != o.Target {
				movedBack++
			}
		}
		if movedBack > 0 {
			t.Errorf("stage %s of %s at one entry, %s of %s at the other: %d of %d sessions move back", o.Stage, o.Target, stages[max(i-1, 0)].Stage, stages[max(i-1, 0)].Target, movedBack, sessions)
		}
		put(second, o)
	}
}
