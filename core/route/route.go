// Package route selects the services for a request by its host and path, with the
// timeouts and limits that apply. A Config is the operator's routing plan at one
// version; a Table indexes it for lookups.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"rosereach/core/finding"
)

// The kinds of request, which determine whether it may be sent again.
const (
	// Safe requests may run any number of times.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered with an event stream. They run at most
	// once, unless the route is resumable.
	Streaming Kind = "streaming"
)

type (
	// Kind determines whether a request may be sent again.
	Kind string

	// Target is a service and its share of a route's requests.
	Target struct {
		Service string `json:"service"`
		// Weight is relative to the sum of the route's weights, which is above 0.
		Weight int `json:"weight"`
	}

	// Route sends the requests of a host below a path prefix to services.
	Route struct {
		Name string `json:"name"`
		Host string `json:"host"`
		// Prefix begins and ends with a slash.
		Prefix  string   `json:"prefix"`
		Kind    Kind     `json:"kind"`
		Targets []Target `json:"targets"`
		// MaxAttempts is the maximum number of attempts of one request that ran
		// or may have run, and of the servers of these. An answer that has begun gets one more
		// attempt if its server is silent in a planned stop.
		MaxAttempts int `json:"attempts"`
		// Timeout is the maximum time until the end of the answer.
		Timeout time.Duration `json:"timeout"`
		// Objective is the maximum time to the first byte of an answer that is on
		// time.
		Objective time.Duration `json:"objective"`
		// EventGap is the maximum pause between events of a stream that is on time.
		EventGap time.Duration `json:"gap,omitempty"`
		// Priority 0 is the most urgent.
		Priority int `json:"priority"`
		// Models are the models to choose from, smallest first.
		Models []string `json:"models,omitempty"`
		// Public routes need no key.
		Public bool `json:"public,omitempty"`
		// Resumable is set when a broken stream may be continued.
		Resumable bool `json:"resumable,omitempty"`
		// Regions are the home regions, in which alone requests may be handled, empty for
		// any.
		Regions []string `json:"regions,omitempty"`
	}

	// Model is a model that a service's engines run.
	Model struct {
		Name string `json:"name"`
		// Cost is the cost of 1,000 generated tokens.
		Cost float64 `json:"cost"`
	}

	// Service is a group of backend servers.
	Service struct {
		Name       string `json:"name"`
		HealthPath string `json:"health_path,omitempty"`
		// MaxConnections is the maximum number of connections to one backend server
		// from all callers together.
		MaxConnections int `json:"connections,omitempty"`
		// Slots, CacheTokens and Models are set for model engines only.
		Slots       int     `json:"slots,omitempty"`
		CacheTokens int64   `json:"cache_tokens,omitempty"`
		Models      []Model `json:"models,omitempty"`
		// WarmupTime is how long a server warms up after its start, and WarmupRate the
		// number of requests a second that it bears meanwhile, 0 for any.
		WarmupTime time.Duration `json:"warmup_time,omitempty"`
		WarmupRate float64       `json:"warmup_rate,omitempty"`
	}

	// Limits are the limits on size and time of callers' requests. Zero is no
	// limit.
	Limits struct {
		MaxHeaderBytes int           `json:"header_bytes,omitempty"`
		MaxBodyBytes   int64         `json:"body_bytes,omitempty"`
		HeaderTimeout  time.Duration `json:"header_time,omitempty"`
		IdleTimeout    time.Duration `json:"idle_time,omitempty"`
	}

	// Workspace is a caller, identified by its keys.
	Workspace struct {
		Name      string   `json:"name"`
		KeyHashes []string `json:"key_hashes"`
		// Priority overrides the priority of routes when it is set.
		Priority *int `json:"priority,omitempty"`
		// Regions are the home regions, as those of a route. Both bind.
		Regions []string `json:"regions,omitempty"`
	}

	// Config is the routing plan at one version. The plan with the highest version
	// is in force.
	Config struct {
		Version    uint64      `json:"version"`
		Routes     []Route     `json:"routes"`
		Services   []Service   `json:"services"`
		Limits     Limits      `json:"limits"`
		Workspaces []Workspace `json:"workspaces,omitempty"`
	}

	// Document is a stored routing plan.
	Document struct {
		Config Config `json:"config"`
		// Text is the plan as the operator sent it, byte for byte.
		Text     []byte `json:"text,omitempty"`
		Revision uint64 `json:"revision"`
	}
)

// IsRetryable reports whether a request of the route can be sent again when it may
// have run.
func (r Route) IsRetryable() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// UsesLocations reports whether the plan restricts where requests go: by home regions or by
// the rates of servers that warm up.
func (c Config) UsesLocations() bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return s.WarmupRate > 0 }) ||
		slices.ContainsFunc(c.Routes, func(r Route) bool { return len(r.Regions) > 0 }) ||
		slices.ContainsFunc(c.Workspaces, func(w Workspace) bool { return len(w.Regions) > 0 })
}

// Check validates the plan and returns all findings.
func (c Config) Check() finding.List {
	var found finding.List
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = true
	}
	routeNames := make(map[string]string, len(c.Routes))
	for i, r := range c.Routes {
		path := fmt.Sprintf("routes.%d", i)
		found.AddNested(path, r.check(services))
		hostAndPrefix := r.Host + " " + r.Prefix
		if other, taken := routeNames[hostAndPrefix]; taken {
			found.Add(path, "same host and prefix as route "+other, "one route for each host and prefix")
		}
		routeNames[hostAndPrefix] = r.Name
	}
	found = append(found, checkSharedKeys(c.Workspaces)...)
	return found
}

func (r Route) check(services map[string]bool) finding.List {
	var found finding.List
	totalWeight := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			found.Add("service", "unknown service "+t.Service, "the name of a service of this plan")
		}
		if t.Weight < 0 {
			found.Add("weight", "negative", "0 or more")
		}
		totalWeight += max(t.Weight, 0)
	}
	if totalWeight == 0 {
		found.Add("weight", "the weights add up to 0", "at least one above 0")
	}
	if r.Timeout <= 0 {
		found.Add("timeout", "not above 0", "a time above 0")
	}
	if r.MaxAttempts < 1 {
		found.Add("attempts", "too few", "1 or more")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		found.Add("prefix", "bad prefix "+r.Prefix, "a path that begins and ends with a slash")
	}
	if r.Kind != Safe && r.Kind != Unsafe && r.Kind != Streaming {
		found.Add("kind", "unknown kind "+string(r.Kind), "safe, unsafe, streaming")
	}
	return found
}

// checkSharedKeys returns a finding for each key that two workspaces share.
func checkSharedKeys(workspaces []Workspace) finding.List {
	var found finding.List
	owners := make(map[string]string)
	for i, w := range workspaces {
		for _, hash := range w.KeyHashes {
			if other, taken := owners[hash]; taken && other != w.Name {
				found.Add(fmt.Sprintf("workspaces.%d", i), "shares a key with workspace "+other, "a key of its own")
			}
			owners[hash] = w.Name
		}
	}
	return found
}
