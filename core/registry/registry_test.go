package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"rosereach/core/backend"
	"rosereach/core/version"
)

const lease = 3 * time.Second

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func ref(n int) version.Ref { return version.Ref{Model: "small", Version: fmt.Sprintf("v%d", n)} }

func engine(id string, sequence uint64, state backend.State, refs ...version.Ref) backend.Announcement {
	return backend.Announcement{
		ID: id, Incarnation: 1, Sequence: sequence, Kind: backend.Engine, State: state, Capacity: 8, Versions: refs, Address: id,
		Load: backend.Load{MeasuredAt: start, Queued: 3, Running: 8, CacheUsed: 0.5, TokenInterval: 25 * time.Millisecond},
	}
}

// Late and repeated announcements change nothing; a new incarnation does.
func TestObserve(t *testing.T) {
	serving, leaving := engine("a", 2, backend.Serving, ref(1)), engine("a", 3, backend.Leaving, ref(1))
	older := engine("a", 1, backend.Serving, ref(1))
	late := engine("a", 9, backend.Serving, ref(1))
	next := engine("a", 1, backend.Serving, ref(1))
	next.Incarnation = 2
	for _, tc := range []struct {
		name          string
		announcements []backend.Announcement
		want          bool
	}{
		{"serving", []backend.Announcement{serving}, true},
		{"older one late", []backend.Announcement{serving, older}, true},
		{"leaving", []backend.Announcement{serving, leaving}, false},
		{"serving again late", []backend.Announcement{serving, leaving, serving}, false},
		{"serving with a higher sequence", []backend.Announcement{serving, leaving, late}, false},
		{"started again", []backend.Announcement{serving, leaving, next}, true},
		{"leaving of the former start", []backend.Announcement{next, leaving}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := New(lease)
			for _, a := range tc.announcements {
				r.Observe(start, 0, a)
			}
			if got := len(r.Engines(start, ref(1))) == 1; got != tc.want {
				t.Errorf("serves: %v, want %v", got, tc.want)
			}
		})
	}
}

// A late reply from any home must not revive a server that has since announced that
// it is leaving.
func TestLateRelayedServingNeverRevives(t *testing.T) {
	home := New(lease).WithSubset("home", 1, 8)
	other := New(lease).WithSubset("other", 1, 8)
	asking := New(lease).WithSubset("asking", 1, 8)
	home.Observe(start, 0, engine("a", 1, backend.Serving, ref(1)))
	asking.ApplyReply(start, "home", home.Answer(start, Query{}))
	ask := asking.Queries([]string{"home"})["home"]
	late := home.Answer(start, ask)
	if len(late.Updates) != 1 {
		t.Fatalf("answer: %+v", late)
	}
	asking.ApplyReply(start, "home", late)
	if len(asking.Engines(start, ref(1))) != 1 {
		t.Fatal("the relayed server is not in use")
	}
	other.Observe(start, 0, engine("a", 2, backend.Leaving, ref(1)))
	asking.ApplyReply(start.Add(time.Second), "other", other.Answer(start, Query{}))
	if len(asking.Engines(start.Add(time.Second), ref(1))) != 0 {
		t.Fatal("the leaving server is still in use")
	}
	late.Updates[0].Sequence = 7
	asking.ApplyReply(start.Add(2*time.Second), "home", late)
	if len(asking.Engines(start.Add(2*time.Second), ref(1))) != 0 || asking.MayServe(start.Add(2*time.Second), "a", 1) {
		t.Error("a late answer revived the server")
	}
}

// For any order of messages: an entry that was informed that a server is leaving
// does not use it, and no server is used for longer than the lease after its last
// announcement.
func TestRelayProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		homes := map[string]*Registry{"h1": New(lease).WithSubset("h1", 1, 2), "h2": New(lease).WithSubset("h2", 1, 2)}
		asking := New(lease).WithSubset("asking", 1, 2)
		now := start
		var sequence [4]uint64
		var left, informed [4]bool
		var lastAnnounced [4]time.Time
		type answer struct {
			home  string
			sent  time.Time
			reply Reply
		}
		var inFlight []answer
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			home := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "home")
			n := rapid.IntRange(0, 3).Draw(t, "server")
			switch rapid.SampledFrom([]string{"say", "say", "leave", "ask", "ask", "arrive", "arrive", "wait"}).Draw(t, "step") {
			case "say", "leave":
				state := backend.Serving
				if left[n] || rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					state, left[n] = backend.Leaving, true
				} else {
					lastAnnounced[n] = now
				}
				sequence[n]++
				homes[home].Observe(now, 0, engine(fmt.Sprint(n), sequence[n], state, ref(1)))
			case "ask":
				ask := asking.Queries([]string{home})[home]
				inFlight = append(inFlight, answer{home, now, homes[home].Answer(now, ask)})
			case "arrive":
				if len(inFlight) == 0 {
					continue
				}
				place := rapid.IntRange(0, len(inFlight)-1).Draw(t, "place")
				one := inFlight[place]
				asking.ApplyReply(one.sent, one.home, one.reply)
				for _, a := range one.reply.Servers {
					if a.State == backend.Leaving && one.reply.Version >= asking.directories[one.home].version {
						informed[a.ID[0]-'0'] = true
					}
				}
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
				asking.Expire(now, time.Minute)
				homes[home].Expire(now, time.Minute)
			}
			for _, a := range asking.Engines(now, ref(1)) {
				i := a.ID[0] - '0'
				if informed[i] {
					t.Fatalf("server %s is in use after it left", a.ID)
				}
				if now.Sub(lastAnnounced[i]) > lease {
					t.Fatalf("server %s is in use %s after its last announcement", a.ID, now.Sub(lastAnnounced[i]))
				}
			}
		}
	})
}

// fleetOf returns an entry's registry, the homes' registries and their names. The
// servers are assigned to homes in turn, and each serves one version.
func fleetOf(self string, entries, servers, versions, size int) (*Registry, map[string]*Registry, []string) {
	homes := make(map[string]*Registry)
	var names []string
	for i := range entries {
		name := fmt.Sprintf("entry-%03d", i)
		names = append(names, name)
		homes[name] = New(lease).WithSubset(name, 1, size)
	}
	for i := range servers {
		homes[names[i%entries]].Observe(start, 0, engine(fmt.Sprintf("engine-%04d", i), 1, backend.Serving, ref(i%versions)))
	}
	r := New(lease).WithSubset(self, 1, size)
	for range 3 {
		for home, ask := range r.Queries(names) {
			r.ApplyReply(start, home, homes[home].Answer(start, ask))
		}
	}
	return r, homes, names
}

// As the fleet grows, an entry still routes to a fixed number of servers of every
// version, and the queries and replies of a round, one a second, stay within the
// budget of 21 KB a second for control traffic.
func TestSubset(t *testing.T) {
	const budget = 21_000
	for _, servers := range []int{330, 1300, 5200} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			r, homes, names := fleetOf("entry-x", 360, servers, 33, 8)
			all := 0
			for v := range 33 {
				n := len(r.Engines(start, ref(v)))
				if n != 8 {
					t.Errorf("%d servers of version %d", n, v)
				}
				all += n
			}
			if all != 33*8 {
				t.Errorf("subset of %d servers", all)
			}
			bytes := 0
			for home, ask := range r.Queries(names) {
				if len(ask.Indices) == 0 {
					continue
				}
				bytes += sizeOf(t, ask) + sizeOf(t, homes[home].Answer(start, ask))
			}
			t.Logf("%d bytes of queries and replies a round", bytes)
			if bytes > budget {
				t.Errorf("%d bytes a round, more than %d", bytes, budget)
			}
		})
	}
}

func sizeOf(t *testing.T, v any) int {
	t.Helper()
	data, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// Removing a server replaces only that server in the subset.
func TestSubsetIsStable(t *testing.T) {
	r, homes, names := fleetOf("entry-x", 4, 40, 1, 8)
	before := r.Engines(start, ref(0))
	gone := before[0].ID
	for _, home := range homes {
		home.ownDirectory.remove(gone)
	}
	for range 2 {
		for home, ask := range r.Queries(names) {
			r.ApplyReply(start, home, homes[home].Answer(start, ask))
		}
	}
	after := make(map[string]bool)
	for _, a := range r.Engines(start, ref(0)) {
		after[a.ID] = true
	}
	for _, a := range before[1:] {
		if !after[a.ID] {
			t.Errorf("%s is no longer in the subset", a.ID)
		}
	}
	if len(after) != 8 || after[gone] {
		t.Errorf("subset after %s was removed: %v", gone, after)
	}
}
