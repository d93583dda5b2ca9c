// Package route decides from a request's host and path which services may
// serve it, and under which terms. A Config is the operator's whole plan at one
// version; a Table answers questions about it and is immutable.
package route

import (
	"fmt"
	"strings"
	"time"

	"rosereach/core/finding"
)

// The kinds of request, which say what may be repeated.
const (
	// Safe requests may run any number of times.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by events. They run at most once, unless
	// the route is resumable.
	Streaming Kind = "streaming"
)

type (
	// Kind says what may be repeated.
	Kind string

	// Target is a service and its share of a route's requests. Shares are
	// weights of any sum above 0.
	Target struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}

	// Route sends the requests of a host below a path prefix to services.
	// Attempts bounds the backend servers that one request may reach. Timeout
	// bounds the wait for the whole answer; Objective is the time to the first
	// byte, and Gap the pause between events, within which an answer is on
	// time. Priority 0 is the most urgent. Models are the sizes to choose from,
	// smallest first. A public route needs no key.
	Route struct {
		Name      string        `json:"name"`
		Host      string        `json:"host"`
		Prefix    string        `json:"prefix"`
		Kind      Kind          `json:"kind"`
		Targets   []Target      `json:"targets"`
		Attempts  int           `json:"attempts"`
		Timeout   time.Duration `json:"timeout"`
		Objective time.Duration `json:"objective"`
		Gap       time.Duration `json:"gap,omitempty"`
		Priority  int           `json:"priority"`
		Models    []string      `json:"models,omitempty"`
		Public    bool          `json:"public,omitempty"`
		Resumable bool          `json:"resumable,omitempty"`
	}

	// Model is a model that a service's engines run; Cost is for 1,000
	// generated tokens.
	Model struct {
		Name string  `json:"name"`
		Cost float64 `json:"cost"`
	}

	// Service is a group of backend servers. Connections bounds the
	// connections to one of them from all callers together. Slots, CacheTokens
	// and Models are set for model engines.
	Service struct {
		Name        string  `json:"name"`
		HealthPath  string  `json:"health_path,omitempty"`
		Connections int     `json:"connections,omitempty"`
		Slots       int     `json:"slots,omitempty"`
		CacheTokens int64   `json:"cache_tokens,omitempty"`
		Models      []Model `json:"models,omitempty"`
	}

	// Limits bound what a caller may send and how long it may take. Zero is no
	// limit.
	Limits struct {
		HeaderBytes int           `json:"header_bytes,omitempty"`
		BodyBytes   int64         `json:"body_bytes,omitempty"`
		HeaderTime  time.Duration `json:"header_time,omitempty"`
		IdleTime    time.Duration `json:"idle_time,omitempty"`
	}

	// Workspace is a caller: its name, the hashes of its keys and its priority,
	// which goes before a route's when it is set.
	Workspace struct {
		Name      string   `json:"name"`
		KeyHashes []string `json:"key_hashes"`
		Priority  *int     `json:"priority,omitempty"`
	}

	// Config is the whole plan at one version. The highest version is in force.
	Config struct {
		Version    uint64      `json:"version"`
		Routes     []Route     `json:"routes"`
		Services   []Service   `json:"services"`
		Limits     Limits      `json:"limits"`
		Workspaces []Workspace `json:"workspaces,omitempty"`
	}

	// Document is a plan with the text that the operator sent, which is read
	// back byte for byte.
	Document struct {
		Config   Config `json:"config"`
		Text     []byte `json:"text,omitempty"`
		Revision uint64 `json:"revision"`
	}
)

// MayRepeat reports whether a request that may have run can be sent again.
func (r Route) MayRepeat() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Check returns all findings of the plan.
func (c Config) Check() finding.List {
	var found finding.List
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = true
	}
	places := make(map[string]string, len(c.Routes))
	for i, r := range c.Routes {
		at := fmt.Sprintf("routes.%d", i)
		found.Within(at, r.check(services))
		place := r.Host + " " + r.Prefix
		if other, taken := places[place]; taken {
			found.Add(at, "same host and prefix as route "+other, "one route for each host and prefix")
		}
		places[place] = r.Name
	}
	found = append(found, checkKeys(c.Workspaces)...)
	return found
}

func (r Route) check(services map[string]bool) finding.List {
	var found finding.List
	sum := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			found.Add("service", "unknown service "+t.Service, "the name of a service of this plan")
		}
		if t.Weight < 0 {
			found.Add("weight", "negative", "0 or more")
		}
		sum += max(t.Weight, 0)
	}
	if sum == 0 {
		found.Add("weight", "the weights add up to 0", "at least one above 0")
	}
	if r.Timeout <= 0 {
		found.Add("timeout", "not above 0", "a time above 0")
	}
	if r.Attempts < 1 {
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

// checkKeys finds keys that two workspaces share.
func checkKeys(list []Workspace) finding.List {
	var found finding.List
	owners := make(map[string]string)
	for i, w := range list {
		for _, hash := range w.KeyHashes {
			if other, taken := owners[hash]; taken && other != w.Name {
				found.Add(fmt.Sprintf("workspaces.%d", i), "shares a key with workspace "+other, "a key of its own")
			}
			owners[hash] = w.Name
		}
	}
	return found
}
