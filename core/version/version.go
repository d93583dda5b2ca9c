// Package version defines model versions and their states from loading to
// withdrawal.
package version

import (
	_ "embed"
	"strings"

	"github.com/juju/errors"

	"rosereach/core/chart"
	"rosereach/core/finding"
)

// The states of a version. A version accepts new requests in the states Canary,
// Ramping and Serving.
const (
	Loaded    State = "loaded"
	Canary    State = "canary"
	Ramping   State = "ramping"
	Serving   State = "serving"
	Held      State = "held"
	Withdrawn State = "withdrawn"
)

// The triggers that move a version between states.
const (
	ToCanary   Trigger = "canary"
	ToRamp     Trigger = "ramp"
	ToServe    Trigger = "serve"
	ToHold     Trigger = "hold"
	ToWithdraw Trigger = "withdraw"
	ToRestore  Trigger = "restore"
)

// AnyVersion is the wildcard in patterns for all versions of a model.
const AnyVersion = "*"

var (
	//go:embed version.json
	chartFile []byte

	stateChart = chart.MustLoad[State, Trigger](chartFile)
)

type (
	// State is a state of the state chart version.json.
	State string

	// Trigger is a trigger of the state chart version.json.
	Trigger string

	// Ref identifies one version of one model.
	Ref struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}

	// Version is the document of one version.
	Version struct {
		Ref   Ref   `json:"ref"`
		State State `json:"state"`
		// Share is the maximum share of traffic for a canary or ramping version,
		// 0 to 1.
		Share float64 `json:"share"`
		// Quality is the quality of the version's answers, 0 to 1.
		Quality float64 `json:"quality"`
		// InputPrice and OutputPrice are the prices of 1,000 tokens, in millionths
		// of the billing currency.
		InputPrice  int64  `json:"input_price"`
		OutputPrice int64  `json:"output_price"`
		Revision    uint64 `json:"revision"`
	}
)

// ParseRef parses a reference of the form "model@version". The error satisfies
// errors.NotValid.
func ParseRef(s string) (Ref, error) {
	model, v, ok := strings.Cut(s, "@")
	if !ok || model == "" || v == "" {
		return Ref{}, errors.NotValidf("version %q: write it as model@version; it", s)
	}
	return Ref{Model: model, Version: v}, nil
}

// String returns the reference as "model@version".
func (r Ref) String() string { return r.Model + "@" + r.Version }

// Matches reports whether the reference matches the pattern, whose version may be
// AnyVersion.
func (r Ref) Matches(pattern Ref) bool {
	if r.Model != pattern.Model {
		return false
	}
	return pattern.Version == AnyVersion || r.Version == pattern.Version
}

// AcceptsWork reports whether new requests may be sent to the version.
func (v Version) AcceptsWork() bool {
	return v.State == Canary || v.State == Ramping || v.State == Serving
}

// WithTrigger returns the version in the state after the trigger. The error
// satisfies errors.NotValid when the state does not accept the trigger.
func (v Version) WithTrigger(t Trigger) (Version, error) {
	next, err := stateChart.Next(v.State, t)
	if err != nil {
		return v, errors.Trace(err)
	}
	v.State = next
	return v, nil
}

// WithShare returns the version with the share, clamped to the range 0 to 1.
func (v Version) WithShare(share float64) Version {
	v.Share = min(max(share, 0), 1)
	return v
}

// Price returns the price of a request in millionths of the billing currency,
// rounded down.
func (v Version) Price(inputTokens, outputTokens int64) int64 {
	const tokensPerPrice = 1000
	return (v.InputPrice*inputTokens + v.OutputPrice*outputTokens) / tokensPerPrice
}

// Check validates the document and returns all findings.
func (v Version) Check() finding.List {
	var found finding.List
	if v.Ref.Model == "" {
		found.Add("ref.model", "missing", "a name")
	}
	if v.Ref.Version == "" || v.Ref.Version == AnyVersion {
		found.Add("ref.version", "missing", "one version's name")
	}
	if v.Quality < 0 || v.Quality > 1 {
		found.Add("quality", "out of range", "0 to 1")
	}
	if v.Share < 0 || v.Share > 1 {
		found.Add("share", "out of range", "0 to 1")
	}
	if v.InputPrice < 0 || v.OutputPrice < 0 {
		found.Add("input_price, output_price", "negative", "0 or more millionths for 1,000 tokens")
	}
	return found
}
