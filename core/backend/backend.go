// Package backend describes backend servers: what they announce about
// themselves and the load that they report.
package backend

import (
	"time"

	"rosereach/core/finding"
	"rosereach/core/version"
)

// The kinds of backend server.
const (
	Engine Kind = "engine"
	Plain  Kind = "plain"
)

// The states that a backend server announces. Leaving is final for an
// incarnation.
const (
	Serving State = "serving"
	Leaving State = "leaving"
)

type (
	// Kind tells model engines from plain services.
	Kind string

	// State is what a backend server says of itself.
	State string

	// Load is a report of load; At is when it was measured. Queued counts
	// waiting requests, Running those in the batch. CacheUsed is the used share
	// of the prefix cache.
	Load struct {
		At            time.Time     `json:"at"`
		Queued        int           `json:"queued"`
		Running       int           `json:"running"`
		CacheUsed     float64       `json:"cache_used"`
		TokenInterval time.Duration `json:"token_interval"`
	}

	// Announcement is what a backend server says about itself, again every
	// second. Incarnation grows with each start, Sequence with each
	// announcement of one start. Address is host:port. Capacity is how many
	// requests it runs at once. Release is the version of the software of a
	// plain service, and Models are the models that it has loaded.
	Announcement struct {
		ID           string        `json:"id"`
		Incarnation  uint64        `json:"incarnation"`
		Sequence     uint64        `json:"sequence"`
		Region       string        `json:"region"`
		Zone         string        `json:"availability_zone"`
		Kind         Kind          `json:"kind"`
		Versions     []version.Ref `json:"versions,omitempty"`
		Service      string        `json:"service,omitempty"`
		Release      string        `json:"release,omitempty"`
		Models       []string      `json:"models,omitempty"`
		Capacity     int           `json:"capacity"`
		State        State         `json:"state"`
		HonoursFence bool          `json:"honours_fence"`
		Address      string        `json:"address"`
		Load         Load          `json:"load"`
	}
)

// Check returns all findings of the announcement.
func (a Announcement) Check() finding.List {
	var found finding.List
	if a.ID == "" {
		found.Add("id", "missing", "a name")
	}
	if a.Incarnation == 0 {
		found.Add("incarnation", "missing", "a number that grows with each start")
	}
	if a.Kind != Engine && a.Kind != Plain {
		found.Add("kind", "unknown kind "+string(a.Kind), "engine, plain")
	}
	if a.Kind == Plain && a.Service == "" {
		found.Add("service", "missing", "the name of a service")
	}
	if a.State != Serving && a.State != Leaving {
		found.Add("state", "unknown state "+string(a.State), "serving, leaving")
	}
	if a.Address == "" {
		found.Add("address", "missing", "host:port")
	}
	if a.Capacity < 1 {
		found.Add("capacity", "too small", "1 or more")
	}
	return found
}

// Serves reports whether the engine has the version loaded.
func (a Announcement) Serves(ref version.Ref) bool {
	if a.Kind != Engine {
		return false
	}
	for _, v := range a.Versions {
		if v == ref {
			return true
		}
	}
	return false
}

// IsNewerThan reports whether the announcement supersedes another of the same
// backend server. Leaving is final within an incarnation.
func (a Announcement) IsNewerThan(other Announcement) bool {
	if a.Incarnation != other.Incarnation {
		return a.Incarnation > other.Incarnation
	}
	if other.State == Leaving && a.State != Leaving {
		return false
	}
	return a.Sequence > other.Sequence
}
