package member

import (
	"time"

	"rosereach/core/health"
	"rosereach/core/pacing"
	"rosereach/core/quarantine"
	"rosereach/core/reach"
	"rosereach/core/rollout"
	"rosereach/core/roster"
	"rosereach/core/speed"
	"rosereach/core/warmup"
)

// The kinds of message with which entries and controls follow a control.
const (
	KindWatch       Kind = "watch"
	KindPresence    Kind = "presence"
	KindRouting     Kind = "routing"
	KindEvidence    Kind = "evidence"
	KindLimits      Kind = "limits"
	KindTrial       Kind = "trial"
	KindTrialResult Kind = "trial_result"
)

type (
	// Presence is the state that an entry reports about itself.
	Presence struct {
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
		// Sequence increases with each report of an incarnation.
		Sequence uint64 `json:"sequence"`
		// Address is the host:port for callers.
		Address string `json:"address"`
		Region  string `json:"region"`
		Zone    string `json:"availability_zone"`
		// AppliedRevision is the revision of the documents in force at the entry.
		AppliedRevision uint64 `json:"applied"`
		Draining        bool   `json:"draining,omitempty"`
		// Relay is the host:port at which the entry connects others to backend servers, and
		// CutOff means that it reaches none itself.
		Relay  string `json:"relay,omitempty"`
		CutOff bool   `json:"cut_off,omitempty"`
		// Cores and LinkMbps are what the entry's instance can do, 0 for unknown.
		Cores    float64 `json:"cores,omitempty"`
		LinkMbps float64 `json:"link_mbps,omitempty"`
	}

	// Report is one entry's counts of attempts at versions under roll-out,
	// since the start of the entry.
	Report struct {
		Entry       string          `json:"entry"`
		Incarnation uint64          `json:"incarnation"`
		Sequence    uint64          `json:"sequence"`
		Tallies     []rollout.Tally `json:"tallies"`
	}

	// WatchRequest is a long poll for changes. The control replies at once if
	// something changed, and otherwise after a timeout, so that the reply also
	// serves as a heartbeat.
	WatchRequest struct {
		// RunID is the run of the control that DocumentsRevision and
		// RosterVersion refer to. A control with another run replies with the
		// full state.
		RunID uint64 `json:"source"`
		// DocumentsRevision is the revision that the sender has.
		DocumentsRevision uint64 `json:"documents"`
		// RosterVersion is the version of the roster that the sender has.
		RosterVersion uint64 `json:"roster"`
		// SightingsVersion and DirectVersion are the positions up to which a
		// control has what the other one received directly.
		SightingsVersion uint64 `json:"heard_version,omitempty"`
		DirectVersion    uint64 `json:"direct_version,omitempty"`
		// Entry and Report describe the sending entry. A control leaves them
		// out, and gets the state that the other control received directly.
		Entry  *Presence `json:"entry,omitempty"`
		Report *Report   `json:"report,omitempty"`
		// Samples are the entry's attempts at backend servers since its last watch
		// of this control.
		Samples []health.Sample `json:"samples,omitempty"`
		// VerdictsVersion is the version of the verdicts that the entry has from
		// this control.
		VerdictsVersion uint64 `json:"verdicts,omitempty"`
		// PartsVersion is the version of the listed and suspected prompt parts that the
		// entry has from this control.
		PartsVersion uint64 `json:"parts,omitempty"`
		// Limits are what the entry has heard of limits that servers name, and
		// LimitsVersion the version of the limits that it has from this control.
		Limits        []pacing.Word `json:"limits,omitempty"`
		LimitsVersion uint64        `json:"limits_version,omitempty"`
		// WarmupsVersion is the version of the servers that warm up that the entry has from
		// this control, 0 for an entry of a build that knows none, and Warmups are those of which it heard itself.
		WarmupsVersion uint64          `json:"warmups_version,omitempty"`
		Warmups        []warmup.Notice `json:"warmups,omitempty"`
		// SpeedsVersion is the version of the servers' speeds that the entry has from this
		// control, and Speeds are the times of its answers since its last watch.
		SpeedsVersion uint64         `json:"speeds_version,omitempty"`
		Speeds        []speed.Sample `json:"speeds,omitempty"`
		// WantsLoads asks for the load reports of all backend servers.
		WantsLoads bool `json:"loads,omitempty"`
		// OpenVersion is the version of the entries that take requests that the entry has from this
		// control, 0 for none. One that stops, or needs relays, is told at once of a newer one.
		OpenVersion uint64 `json:"open_version,omitempty"`
		// WantsRelays asks for entries through which servers can be reached.
		WantsRelays bool `json:"relays,omitempty"`
	}

	// WatchReply holds what changed.
	WatchReply struct {
		// RunID is the run of the replying control.
		RunID uint64 `json:"source"`
		// Current is set while the control follows a leader that a majority
		// follows.
		Current bool `json:"current"`
		// DocumentsRevision is the newest revision of the documents, which are requested
		// separately.
		DocumentsRevision uint64 `json:"revision"`
		// Roster holds the changes since the requested version. In a reply to a
		// control, its sightings are the recent ones that the replying control
		// received directly.
		Roster roster.Delta `json:"roster"`
		// Controls lists the host:port of all controls.
		Controls []string `json:"controls,omitempty"`
		// EntryCount is the number of live entries, including those that are
		// draining.
		EntryCount int `json:"entries"`
		// OpenOthers is the number of live entries but the watcher that take requests, as of
		// OpenVersion, which is 0 if the control doesn't tell.
		OpenOthers  int    `json:"open_others,omitempty"`
		OpenVersion uint64 `json:"open_version,omitempty"`
		// Verdicts are all servers that the control considers failing. They are set if VerdictsVersion differs from the one in the request.
		VerdictsVersion uint64           `json:"verdicts_version,omitempty"`
		Verdicts        []health.Verdict `json:"verdicts,omitempty"`
		// Listed are all prompt parts and requests that are rejected, and Suspects the parts
		// whose sound answers the entry is asked for and the requests that run by turns only. They are set if PartsVersion differs
		// from the one in the request.
		PartsVersion uint64               `json:"parts_version,omitempty"`
		Listed       []quarantine.Listing `json:"listed,omitempty"`
		Suspects     []quarantine.Key     `json:"suspects,omitempty"`
		// Limits are the limits that servers name, and Shares the parts of them that the
		// entry may use. HasShares is set if the control knows the entries.
		LimitsVersion uint64         `json:"limits_version,omitempty"`
		Limits        []pacing.Word  `json:"limits,omitempty"`
		Shares        []pacing.Share `json:"shares,omitempty"`
		HasShares     bool           `json:"has_shares,omitempty"`
		// Loads are recent load reports of backend servers, if they were requested, and
		// LoadsAge is how long before the reply their ages were taken.
		Loads    *Loads        `json:"loads,omitempty"`
		LoadsAge time.Duration `json:"loads_age,omitempty"`
		// Relays are entries through which servers can be reached, if they were requested.
		// RelayRegions are their regions, by id. LeavingRelays are the ids of entries that were
		// relays and take no more requests.
		Relays        []reach.Relay     `json:"relays,omitempty"`
		RelayRegions  map[string]string `json:"relay_regions,omitempty"`
		LeavingRelays []string          `json:"leaving_relays,omitempty"`
		// Warmups are the servers that warm up, at WarmupsVersion. Ranks are the positions
		// of the entry among those that may use them, as far as they are small.
		// HasRanks is set if the control knows the entries.
		WarmupsVersion uint64          `json:"warmups_version,omitempty"`
		Warmups        []warmup.Notice `json:"warmups,omitempty"`
		Ranks          []warmup.Rank   `json:"ranks,omitempty"`
		HasRanks       bool            `json:"has_ranks,omitempty"`
		// Speeds are the servers' lasting speeds that changed after the requested version,
		// and SpeedsVersion is the version with them.
		SpeedsVersion uint64           `json:"speeds_version,omitempty"`
		Speeds        []speed.Estimate `json:"speeds,omitempty"`
		// Presences, Reports and Evidence hold what entries sent to the replying control
		// directly, and what it listed itself, up to DirectVersion. They are set in replies
		// to controls only.
		Presences     []Presence          `json:"heard,omitempty"`
		Reports       []Report            `json:"reports,omitempty"`
		Evidence      []quarantine.Report `json:"evidence,omitempty"`
		DirectVersion uint64              `json:"direct_version,omitempty"`
	}

	// TrialRequest asks whether a request that has been at servers that ended may run.
	TrialRequest struct {
		Trial quarantine.Trial `json:"trial"`
	}

	// TrialReply is the answer to a TrialRequest.
	TrialReply struct {
		Permission quarantine.Permission `json:"permission"`
	}

	// TrialResult gives the trial slot back. HasOutcome is set if the trial says something about the
	// request.
	TrialResult struct {
		Trial      quarantine.Trial `json:"trial"`
		HasOutcome bool             `json:"outcome,omitempty"`
	}

	// RoutingReply is the text of the newest routing plan, confirmed by a
	// majority after the request arrived. Text is empty if there is no plan.
	RoutingReply struct {
		Version uint64 `json:"version"`
		Text    []byte `json:"text"`
	}
)

// Next returns the request with which a control continues after this reply.
func (r WatchReply) Next() WatchRequest {
	return WatchRequest{
		RunID: r.RunID, RosterVersion: r.Roster.Version,
		SightingsVersion: r.Roster.SightingsVersion, DirectVersion: r.DirectVersion,
	}
}

// Distance returns how far the entry is from a place: 0 in its availability zone, 1 in its
// region, 2 elsewhere.
func (p Presence) Distance(region, zone string) int {
	switch {
	case p.Zone == zone:
		return 0
	case p.Region == region:
		return 1
	}
	return 2
}

// IsNewerThan reports whether p supersedes another presence of the same entry.
func (p Presence) IsNewerThan(other Presence) bool {
	if p.Incarnation != other.Incarnation {
		return p.Incarnation > other.Incarnation
	}
	return p.Sequence > other.Sequence
}
