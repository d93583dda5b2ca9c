// Package state implements the replicated state, which every replica computes from
// the same log of commands. It holds the documents, the results of changes, the
// audit trail and the request ledger.
package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/juju/errors"

	"rosereach/core/audit"
	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/encoding"
	"rosereach/core/ledger"
	"rosereach/core/version"
)

type (
	// Command is the content of one log entry. Exactly one field is set.
	Command struct {
		Change     *change.Change `json:"change,omitempty"`
		Begin      *ledger.Begin  `json:"begin,omitempty"`
		Finish     *ledger.Finish `json:"finish,omitempty"`
		CloseOwner *CloseOwner    `json:"settle,omitempty"`
		AuditEvent *audit.Event   `json:"note,omitempty"`
	}

	// CloseOwner ends the open requests of an owner whose lease ended.
	CloseOwner struct {
		Owner ledger.Owner `json:"owner"`
		At    time.Time    `json:"at"`
		// Reported holds the answers that backend servers reported for these
		// requests.
		Reported []ledger.ReportedAnswer `json:"learnt,omitempty"`
	}

	// Result is the result of a command: Change for a change, Ledger for a begin
	// or finish. Other commands have no result.
	Result struct {
		Change *change.Result `json:"change,omitempty"`
		Ledger *ledger.Reply  `json:"ledger,omitempty"`
	}

	// State is the replicated state. It is not safe for concurrent use; the
	// catalogs that it returns are immutable.
	State struct {
		index   uint64
		docs    catalog.Documents
		catalog *catalog.Catalog
		results *results
		trail   *audit.Trail
		ledger  *ledger.Sharded
	}

	// snapshot is the encoded form of the whole state.
	snapshot struct {
		Index   uint64                  `json:"index"`
		Docs    catalog.Documents       `json:"docs"`
		Results map[string]storedResult `json:"answers"`
		Trail   audit.Snapshot          `json:"trail"`
		Ledger  ledger.Snapshot         `json:"ledger"`
	}
)

// New returns the empty state.
func New() *State {
	docs := catalog.Documents{}.Clone()
	return &State{
		docs:    docs,
		catalog: catalog.New(docs),
		results: newResults(),
		trail:   audit.NewTrail(),
		ledger:  ledger.NewSharded(ledger.DefaultShards, ledger.DefaultLimits()),
	}
}

// Unsupported returns what of the command this build does not know, empty if it can apply
// it. A replica that skipped such a command would hold another state than the others.
func (c Command) Unsupported() string {
	switch {
	case c.Change != nil && !c.Change.Kind.IsKnown():
		return "a change of kind " + string(c.Change.Kind)
	case c.Change == nil && c.Begin == nil && c.Finish == nil && c.CloseOwner == nil && c.AuditEvent == nil:
		return "a command"
	}
	return ""
}

// Apply executes the command at the given index of the log.
func (s *State) Apply(index uint64, c Command) Result {
	s.index = index
	switch {
	case c.Change != nil:
		r := s.applyChange(*c.Change)
		return Result{Change: &r}
	case c.Begin != nil:
		r := s.ledger.Begin(*c.Begin)
		return Result{Ledger: &r}
	case c.Finish != nil:
		r := s.ledger.Finish(*c.Finish)
		return Result{Ledger: &r}
	case c.CloseOwner != nil:
		s.applyCloseOwner(*c.CloseOwner)
	case c.AuditEvent != nil:
		s.appendAuditEvent(*c.AuditEvent)
	}
	return Result{}
}

// WithTime returns the command with the leader's time in place of the sender's. The
// receiver's own data stay unchanged.
func (c Command) WithTime(at time.Time) Command {
	at = at.UTC()
	switch {
	case c.Change != nil:
		changed := c.Change.WithTime(at)
		c.Change = &changed
	case c.Begin != nil:
		begin := *c.Begin
		begin.At = at
		c.Begin = &begin
	case c.Finish != nil:
		finish := *c.Finish
		finish.At = at
		c.Finish = &finish
	}
	return c
}

// Index returns the log index of the last command applied.
func (s *State) Index() uint64 { return s.index }

// Catalog returns the catalog of the documents at the last command. It is built on
// first use, so that replaying many changes builds only one.
func (s *State) Catalog() *catalog.Catalog {
	if s.catalog == nil {
		s.catalog = catalog.New(s.docs)
	}
	return s.catalog
}

// Documents returns the documents at the last command. Callers must not modify the
// maps.
func (s *State) Documents() catalog.Documents { return s.docs }

// Ledger returns the request ledger, for reading.
func (s *State) Ledger() *ledger.Sharded { return s.ledger }

// AuditPage returns at most limit audit events with a sequence above after, in order.
func (s *State) AuditPage(after uint64, limit int) audit.Page { return s.trail.Page(after, limit) }

// AuditHead returns the head of the audit trail's hash chain.
func (s *State) AuditHead() audit.Chain { return s.trail.Head() }

// Encode returns the whole state as a snapshot.
func (s *State) Encode() ([]byte, error) { return s.Freeze()() }

// Freeze takes a snapshot of the state and returns a function that encodes it. The
// function may be called while later commands are applied.
func (s *State) Freeze() func() ([]byte, error) {
	snap := snapshot{
		Index: s.index, Docs: s.docs.Clone(), Results: maps.Clone(s.results.byID), Trail: s.trail.Snapshot(),
		Ledger: s.ledger.Snapshot(),
	}
	return func() ([]byte, error) { return encoding.Marshal(snap) }
}

// Decode returns the state of a snapshot.
func Decode(data []byte) (*State, error) {
	var snap snapshot
	if err := encoding.Unmarshal(data, &snap); err != nil {
		return nil, errors.Annotate(err, "snapshot of the replicated state")
	}
	s := New()
	s.index = snap.Index
	s.docs = snap.Docs.Clone()
	s.catalog = nil
	s.results = restoreResults(snap.Results)
	s.trail = audit.RestoreTrail(snap.Trail)
	s.ledger = ledger.RestoreSharded(snap.Ledger, ledger.DefaultLimits())
	return s, nil
}

func (s *State) applyChange(c change.Change) change.Result {
	if c.ID == "" {
		return change.RefuseFor("change_id", "missing", "an id that is new for each change")
	}
	if err := encoding.CheckText(c); err != nil {
		// Logs of earlier builds may hold such a change.
		c.Name = strings.ToValidUTF8(c.Name, "\uFFFD")
		result := change.RefuseFor("name", err.Error(), "UTF-8 text")
		s.auditChange(c, result, nil)
		return result
	}
	hash := c.Hash()
	if first, ok := s.results.find(c.ID); ok {
		return first.forResend(hash)
	}
	before := s.docs.Record(c)
	docs, result := s.docs.Apply(c, s.index)
	s.results.add(c.ID, storedResult{Hash: hash, Index: s.index, At: c.At, Result: result})
	if result.Status == change.Accepted {
		s.docs = docs
		s.catalog = nil
	}
	s.auditChange(c, result, before)
	return result
}

func (s *State) applyCloseOwner(c CloseOwner) {
	closed := s.ledger.CloseOwner(c.Owner, c.At, c.Reported)
	s.appendAuditEvent(audit.Event{
		At: c.At, Kind: audit.LeaseEnded, Actor: "system", Subject: "entry/" + c.Owner.Entry,
		Detail: fmt.Sprintf("incarnation %d, %d open requests settled%s", c.Owner.Incarnation, len(closed), formatKeys(closed)),
	})
}

// formatKeys returns a colon and the names of the first requests, or nothing if there
// are none.
func formatKeys(keys []ledger.Key) string {
	const maxListed = 32
	var names []string
	for _, k := range keys[:min(len(keys), maxListed)] {
		names = append(names, k.Workspace+"/"+k.RequestID)
	}
	if len(names) == 0 {
		return ""
	}
	return ": " + strings.Join(names, ", ")
}

func (s *State) auditChange(c change.Change, r change.Result, before json.RawMessage) {
	e := audit.Event{
		At: c.At, Kind: auditKind(c), Actor: c.Actor, From: c.From, Subject: c.Subject(), Action: string(c.Kind),
		ChangeID: c.ID, Revision: r.Revision,
	}
	if r.Status == change.Accepted {
		e.Before, e.After = before, s.docs.Record(c)
	} else {
		e.Kind, e.Detail = audit.Refused, string(r.Status)+" "+r.Findings.Error()
	}
	s.appendAuditEvent(e)
}

// auditKind returns Held for a change that holds a version, else Changed.
func auditKind(c change.Change) audit.Kind {
	var move change.Move
	if c.Kind != change.MoveVersion || json.Unmarshal(c.Document, &move) != nil || move.Trigger != string(version.ToHold) {
		return audit.Changed
	}
	return audit.Held
}

func (s *State) appendAuditEvent(e audit.Event) { s.trail.Append(e) }
