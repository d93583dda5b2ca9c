package route_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"rosereach/core/key"
	"rosereach/core/route"
)

func plan() route.Config {
	return route.Config{
		Version: 7,
		Routes: []route.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Kind: route.Safe, Targets: []route.Target{{Service: "one", Weight: 1}}, MaxAttempts: 2, Timeout: time.Second},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Kind: route.Unsafe, Targets: []route.Target{{Service: "one", Weight: 9}, {Service: "two", Weight: 1}}, MaxAttempts: 1, Timeout: time.Second},
		},
		Services:   []route.Service{{Name: "one"}, {Name: "two"}},
		Workspaces: []route.Workspace{{Name: "w", KeyHashes: []string{key.Hash("k")}}},
	}
}

func TestCheckReportsInvalidPlans(t *testing.T) {
	for name, invalidate := range map[string]func(*route.Config){
		"unknown service": func(c *route.Config) { c.Routes[0].Targets[0].Service = "none" },
		"same place":      func(c *route.Config) { c.Routes[1].Prefix = "/x/" },
		"no weight":       func(c *route.Config) { c.Routes[0].Targets[0].Weight = 0 },
		"no timeout":      func(c *route.Config) { c.Routes[0].Timeout = 0 },
		"bad prefix":      func(c *route.Config) { c.Routes[0].Prefix = "/x" },
		"shared key": func(c *route.Config) {
			c.Workspaces = append(c.Workspaces, route.Workspace{Name: "v", KeyHashes: []string{key.Hash("k")}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := plan()
			invalidate(&c)
			if len(c.Check()) == 0 {
				t.Fatal("no finding")
			}
		})
	}
	if found := plan().Check(); len(found) > 0 {
		t.Fatalf("a valid plan has findings: %v", found)
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := route.NewTable(plan())
	for path, want := range map[string]string{"/x/y/z": "long", "/x/z": "short", "/x/y": "short", "/": "", "/xy/": ""} {
		r, ok := table.Match("a.example", path)
		if ok != (want != "") || r.Name != want {
			t.Errorf("%s goes to %q, want %q", path, r.Name, want)
		}
	}
	if _, ok := table.Match("b.example", "/x/"); ok {
		t.Error("a foreign host matches")
	}
}

func TestManyRoutesMatchByHost(t *testing.T) {
	c := plan()
	for i := range 400 {
		c.Routes = append(c.Routes, route.Route{
			Name: fmt.Sprint("r", i), Host: "a.example", Prefix: fmt.Sprintf("/n%d/", i), Kind: route.Safe,
			Targets: []route.Target{{Service: "one", Weight: 1}}, MaxAttempts: 1, Timeout: time.Second,
		})
	}
	if found := c.Check(); len(found) > 0 {
		t.Fatal(found)
	}
	if r, ok := route.NewTable(c).Match("a.example", "/n399/q"); !ok || r.Name != "r399" {
		t.Fatalf("got %q", r.Name)
	}
}

func TestWorkspaceByKey(t *testing.T) {
	table := route.NewTable(plan())
	if w, ok := table.WorkspaceByKey("k"); !ok || w.Name != "w" {
		t.Fatal("the key is not known")
	}
	for _, k := range []string{"", "K", "k "} {
		if _, ok := table.WorkspaceByKey(k); ok {
			t.Errorf("key %q is known", k)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	r, _ := route.NewTable(plan()).Match("a.example", "/x/y/")
	counts := map[string]int{}
	for range 10_000 {
		counts[r.Pick(random)]++
	}
	if counts["two"] < 800 || counts["two"] > 1200 {
		t.Fatalf("a tenth of the weight got %d of 10000", counts["two"])
	}
}

func ExampleRoute_IsRetryable() {
	var may []string
	for _, r := range []route.Route{{Name: "read", Kind: route.Safe}, {Name: "post", Kind: route.Unsafe}, {Name: "stream", Kind: route.Streaming}, {Name: "resumable", Kind: route.Streaming, Resumable: true}} {
		if r.IsRetryable() {
			may = append(may, r.Name)
		}
	}
	fmt.Println(strings.Join(may, ", "))
	// Output: read, resumable
}

func TestKeyChanges(t *testing.T) {
	table := func(owners map[string][]string) *route.Table {
		var c route.Config
		for name, hashes := range owners {
			c.Workspaces = append(c.Workspaces, route.Workspace{Name: name, KeyHashes: hashes})
		}
		return route.NewTable(c)
	}
	before := table(map[string][]string{"a": {"k1", "k2"}, "b": {"k3"}})
	after := table(map[string][]string{"a": {"k1", "k4"}, "b": {"k2"}})
	for name, c := range map[string]struct {
		next, old      *route.Table
		added, removed int
	}{
		"first plan":                   {before, nil, 3, 0},
		"nothing changes":              {before, before, 0, 0},
		"one new, one gone, one moved": {after, before, 2, 2},
	} {
		if added, removed := c.next.KeyChanges(c.old); added != c.added || removed != c.removed {
			t.Errorf("%s: %d added and %d removed, want %d and %d", name, added, removed, c.added, c.removed)
		}
	}
}
