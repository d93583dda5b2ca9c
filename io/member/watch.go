package member

import (
	"rosereach/core/rollout"
	"rosereach/core/roster"
)

// The messages with which entries and controls follow a control.
const (
	KindWatch    Kind = "watch"
	KindPresence Kind = "presence"
	KindRouting  Kind = "routing"
)

type (
	// Presence is an entry that serves callers, as it says of itself. Address is
	// the host:port at which callers reach it, Applied the revision of the
	// documents in force there.
	Presence struct {
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
		Sequence    uint64 `json:"sequence"`
		Address     string `json:"address"`
		Region      string `json:"region"`
		Zone        string `json:"availability_zone"`
		Applied     uint64 `json:"applied"`
		Draining    bool   `json:"draining,omitempty"`
	}

	// Report is what one entry counted of the attempts at releases under
	// roll-out, since its start.
	Report struct {
		Entry       string          `json:"entry"`
		Incarnation uint64          `json:"incarnation"`
		Sequence    uint64          `json:"sequence"`
		Tallies     []rollout.Tally `json:"tallies"`
	}

	// WatchRequest asks for what changed. It is answered at once when something
	// did, and after a while in any case, so that the answer is also a sign of
	// life. Source is the run of the control that Documents and Roster refer to;
	// another one answers in full. Entry and Report are the asking entry's own;
	// a control that asks leaves them out and gets what the other heard itself.
	WatchRequest struct {
		Source    uint64    `json:"source"`
		Documents uint64    `json:"documents"`
		Roster    uint64    `json:"roster"`
		Entry     *Presence `json:"entry,omitempty"`
		Report    *Report   `json:"report,omitempty"`
	}

	// WatchReply holds what changed. Revision is the newest of the documents,
	// which are asked for by themselves. Current says that the control follows a
	// leader that a majority follows. Controls are the addresses, host:port, of
	// all controls and the availability zone of each that is known. Entries is
	// how many entries serve. To controls it also gives the entries, reports
	// and backend servers that the control heard itself.
	WatchReply struct {
		Source   uint64       `json:"source"`
		Current  bool         `json:"current"`
		Revision uint64       `json:"revision"`
		Roster   roster.Delta `json:"roster"`
		Controls []string     `json:"controls,omitempty"`
		Entries  int          `json:"entries"`
		Heard    []Presence   `json:"heard,omitempty"`
		Reports  []Report     `json:"reports,omitempty"`
	}

	// RoutingReply is the newest routing plan's text, confirmed by a majority
	// after it was asked for. Text is empty when there is none.
	RoutingReply struct {
		Version uint64 `json:"version"`
		Text    []byte `json:"text"`
	}
)

// IsNewerThan reports whether a presence supersedes another of the same entry.
func (p Presence) IsNewerThan(other Presence) bool {
	if p.Incarnation != other.Incarnation {
		return p.Incarnation > other.Incarnation
	}
	return p.Sequence > other.Sequence
}
