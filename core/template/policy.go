package template

import (
	"encoding/json"
	"slices"

	"rosereach/core/finding"
	"rosereach/core/shape"
	"rosereach/core/version"
)

type (
	// Policy defines what a workspace's traffic is allowed to do. It is the
	// template's policy after the substitution of the workspace's values.
	Policy struct {
		// Allow lists the permitted versions as patterns, such as model@version or
		// model@*.
		Allow []string `json:"allow"`
		// QualityTarget is the target for the quality of answers, 0 to 1.
		QualityTarget float64    `json:"quality_target"`
		Priorities    Priorities `json:"priorities"`
		Priority      int        `json:"priority"`
		// Weight is the workspace's weight in fair sharing. 0 means 1.
		Weight int `json:"weight"`
		// Services lists the permitted plain services by name.
		Services      []string `json:"services"`
		Limits        Limits   `json:"limits"`
		RetentionDays int      `json:"retention_days"`
	}

	// Priorities are the weights of the criteria for choosing a version. Each is
	// 0 or more; only their ratio matters.
	Priorities struct {
		Cost     float64 `json:"cost"`
		Latency  float64 `json:"latency"`
		Exposure float64 `json:"exposure"`
	}

	// Limits are the limits of one workspace. Zero means the default of the entry.
	Limits struct {
		RequestsPerSecond float64 `json:"requests_per_second"`
		// MaxConcurrent is the maximum number of requests at the same time.
		MaxConcurrent int   `json:"concurrent"`
		MaxBodyBytes  int64 `json:"body_bytes"`
		MaxTokens     int64 `json:"max_tokens"`
	}
)

// AllowsService reports whether the policy permits the plain service.
func (p Policy) AllowsService(name string) bool { return slices.Contains(p.Services, name) }

// Check validates the policy and returns all findings.
func (p Policy) Check() finding.List {
	var found finding.List
	for _, pattern := range p.Allow {
		if _, err := version.ParseRef(pattern); err != nil {
			found.Add("allow", "bad pattern "+pattern, "model@version or model@*")
		}
	}
	if p.QualityTarget < 0 || p.QualityTarget > 1 {
		found.Add("quality_target", "out of range", "0 to 1")
	}
	if min(p.Priorities.Cost, p.Priorities.Latency, p.Priorities.Exposure) < 0 {
		found.Add("priorities", "negative weight", "0 or more")
	}
	if p.Weight < 0 {
		found.Add("weight", "negative", "0 (for 1) or more")
	}
	if p.Limits.RequestsPerSecond < 0 || p.Limits.MaxConcurrent < 0 || p.Limits.MaxBodyBytes < 0 || p.Limits.MaxTokens < 0 {
		found.Add("limits", "negative limit", "0 (for the default) or more")
	}
	if p.RetentionDays < 0 {
		found.Add("retention_days", "negative", "0 or more")
	}
	return found
}

// parsePolicy decodes and validates a policy without parameter references.
func parsePolicy(raw json.RawMessage) (Policy, finding.List) {
	p, found := shape.Decode[Policy](raw)
	if len(found) > 0 {
		return p, found
	}
	return p, p.Check()
}
