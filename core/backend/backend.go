// Package backend describes backend servers: their announcements and the load
// that they report.
package backend

import (
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"rosereach/core/finding"
	"rosereach/core/version"
)

const (
	// maxNameBytes bounds the names in an announcement. Every member sends them to every
	// other.
	maxNameBytes = 256

	// maxModels and maxCapacity are far above what a server has.
	maxModels   = 1024
	maxCapacity = 1 << 20

	// maxPort is the highest port.
	maxPort = 1<<16 - 1

	// MaxIncarnation bounds the incarnations and sequences of servers: they are times in
	// nanoseconds at most, and leave room to count on.
	MaxIncarnation = 1<<63 - 1
)

// The kinds of backend server.
const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// Plain is a server of a plain service, which runs no model.
	Plain Kind = "plain"
)

// The states that a backend server announces.
const (
	Serving State = "serving"
	// Leaving is final for an incarnation.
	Leaving State = "leaving"
)

type (
	// Kind distinguishes model engines from plain services.
	Kind string

	// State is the state that a backend server announces.
	State string

	// Load is a load report.
	Load struct {
		// MeasuredAt is the time of measurement.
		MeasuredAt time.Time `json:"at"`
		// Queued is the number of waiting requests.
		Queued int `json:"queued"`
		// Running is the number of requests in the batch.
		Running int `json:"running"`
		// CacheUsed is the used share of the prefix cache, 0 to 1.
		CacheUsed float64 `json:"cache_used"`
		// TokenInterval is the time between two tokens of a request.
		TokenInterval time.Duration `json:"token_interval"`
	}

	// Announcement is the description that a backend server sends of itself
	// every second.
	Announcement struct {
		ID string `json:"id"`
		// Incarnation grows with each start of the server.
		Incarnation uint64 `json:"incarnation"`
		// Sequence grows with each announcement of an incarnation.
		Sequence uint64 `json:"sequence"`
		Region   string `json:"region"`
		Zone     string `json:"availability_zone"`
		Kind     Kind   `json:"kind"`
		// Versions are the model versions that an engine has loaded.
		Versions []version.Ref `json:"versions,omitempty"`
		// Service is the name of a plain server's service.
		Service string `json:"service,omitempty"`
		// Release is the software version of a plain service.
		Release string `json:"release,omitempty"`
		// Models are the names of the models that the server has loaded.
		Models []string `json:"models,omitempty"`
		// Capacity is the number of requests that the server runs at once.
		Capacity int   `json:"capacity"`
		State    State `json:"state"`
		// HonorsFence is set when the server rejects orders with an outdated
		// fencing number.
		HonorsFence bool `json:"honours_fence"`
		// Address is host:port.
		Address string `json:"address"`
		Load    Load   `json:"load"`
		// Warmup is how much longer the server warms up, counted from when it sent the
		// announcement. Records of servers leave it out.
		Warmup time.Duration `json:"warmup,omitempty"`
	}
)

// Check validates the announcement and returns all findings.
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
	if !isAddress(a.Address) {
		found.Add("address", "not the address of a server: "+strconv.QuoteToASCII(a.Address), "host:port, with a port from 1 to 65535")
	}
	if a.Capacity < 1 || a.Capacity > maxCapacity {
		found.Add("capacity", "out of range", "1 to "+strconv.Itoa(maxCapacity))
	}
	if a.Incarnation > MaxIncarnation || a.Sequence > MaxIncarnation {
		found.Add("incarnation", "the incarnation or the sequence is too large", "less than 2 to the power of 63")
	}
	return append(found, a.checkNames()...)
}

// checkNames returns the findings on names that not every member can read or hold.
func (a Announcement) checkNames() finding.List {
	var found finding.List
	names := map[string][]string{
		"id": {a.ID}, "service": {a.Service}, "release": {a.Release}, "availability_zone": {a.Zone}, "region": {a.Region},
		"address": {a.Address}, "models": a.Models,
	}
	for _, v := range a.Versions {
		names["versions"] = append(names["versions"], v.String())
	}
	for place, list := range names {
		for _, name := range list {
			if !utf8.ValidString(name) || len(name) > maxNameBytes {
				found.Add(place, "not a name: "+strconv.QuoteToASCII(name[:min(len(name), maxNameBytes)]), "UTF-8 text of at most 256 bytes")
			}
		}
	}
	if len(a.Models) > maxModels || len(a.Versions) > maxModels {
		found.Add("models", "too many", "at most "+strconv.Itoa(maxModels))
	}
	return found
}

// IsReadable reports whether every member can read the announcement's names and hold its
// numbers. Members of earlier builds pass on what they received.
func (a Announcement) IsReadable() bool {
	return len(a.checkNames()) == 0 && a.Capacity <= maxCapacity && a.Incarnation <= MaxIncarnation && a.Sequence <= MaxIncarnation
}

// isAddress reports whether the text is a host and a port that a server can listen on. The
// host of an IPv6 address stands in brackets.
func isAddress(text string) bool {
	colon := strings.LastIndexByte(text, ':')
	if colon <= 0 {
		return false
	}
	host := text[:colon]
	if inner, ok := strings.CutPrefix(host, "["); ok {
		host = strings.TrimSuffix(inner, "]")
		if host == inner {
			return false
		}
	} else if strings.ContainsAny(host, ":]") {
		return false
	}
	n, err := strconv.ParseUint(text[colon+1:], 10, 64)
	return err == nil && host != "" && n >= 1 && n <= maxPort
}

// Serves reports whether the server is an engine with the version loaded.
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
// backend server. Within an incarnation, nothing but Leaving supersedes Leaving.
func (a Announcement) IsNewerThan(other Announcement) bool {
	if a.Incarnation != other.Incarnation {
		return a.Incarnation > other.Incarnation
	}
	if other.State == Leaving && a.State != Leaving {
		return false
	}
	return a.Sequence > other.Sequence
}
