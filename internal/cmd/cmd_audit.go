package cmd

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/core/audit"
	"rosereach/core/catalog"
	"rosereach/core/ledger"
)

// cmdAudit returns the command that exports, verifies and queries the audit
// trail.
func cmdAudit() *command {
	file := flag("file", "", "exported trail to read instead of a control's")
	return &command{
		name: "audit", short: "export, verify and query the audit trail",
		subs: []*command{
			{
				name: "export", short: "write the trail as JSON lines", action: exportAudit,
				flags: operatorFlags(flag("after", "0", "sequence number of the last known event")),
			},
			{
				name: "verify", short: "check the hash chain of an export or of a control's trail", action: verifyAudit,
				flags: operatorFlags(file, flag("known-hash", "", "hash of an event that must be in the chain")),
			},
			{
				name: "permitted", short: "show the permissions that a workspace had", args: "WORKSPACE", action: showPermitted,
				flags: operatorFlags(file, flag("at", "", "time as RFC 3339 (now when empty)")),
			},
			{
				name: "request", short: "show how a request was routed and why", args: "WORKSPACE ID", action: showRequest,
				flags: operatorFlags(file),
			},
		},
	}
}

func exportAudit(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	client, after := s.client(), uint64(s.number("after", 0, 1<<62))
	if err := s.err(); err != nil {
		return err
	}
	page, err := client.FullTrail(ctx, after)
	if err != nil {
		return err
	}
	return page.Export(os.Stdout)
}

func verifyAudit(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	page, err := s.auditTrail(ctx)
	if err != nil {
		return err
	}
	if known := s.optional("known-hash"); known != "" && !page.HasHash(known) {
		return errors.Annotatef(audit.ErrBroken, "no event has the hash %s", known)
	}
	if len(page.Events) == 0 {
		fmt.Println("chain whole: no events")
		return nil
	}
	first, last := page.Events[0], page.Events[len(page.Events)-1]
	fmt.Printf("chain whole: events %d to %d, head %s\n", first.Sequence, last.Sequence, last.Hash)
	return nil
}

func showPermitted(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	name, at := s.argument(0, "WORKSPACE"), s.time("at")
	page, err := s.auditTrail(ctx)
	if err != nil {
		return err
	}
	permissions, sequence, err := permittedAt(page, name, at)
	if err != nil {
		return err
	}
	answer := permitted{Workspace: name, At: at, Event: sequence, Permitted: permissions}
	answer.Accepted, answer.InForce = page.Revisions(at)
	return s.showDocument(answer)
}

// permittedAt restores the documents as they were at a time. It returns the
// workspace's permissions then and the sequence number of the last event up to
// that time.
func permittedAt(page audit.Page, workspace string, at time.Time) (catalog.Permissions, uint64, error) {
	if len(page.Base) > 0 && len(page.Events) > 0 && at.Before(page.Events[0].At) {
		return catalog.Permissions{}, 0, errors.NotFoundf(
			"audit trail at %s (this one starts at %s; pass an older export with --file)", at, page.Events[0].At)
	}
	records, sequence := page.Documents(at)
	docs, err := catalog.Restore(records)
	if err != nil {
		return catalog.Permissions{}, 0, err
	}
	return catalog.New(docs).Permissions(workspace), sequence, nil
}

// permitted is the output of the "audit permitted" command. Accepted is the
// revision of the permissions; InForce is the newest revision that was known to be
// in force at every entry.
type permitted struct {
	Workspace string              `json:"workspace"`
	At        time.Time           `json:"at"`
	Event     uint64              `json:"event"`
	Accepted  uint64              `json:"accepted_revision"`
	InForce   uint64              `json:"in_force_revision"`
	Permitted catalog.Permissions `json:"permitted"`
}

// explanation is the output of the "audit request" command.
type explanation struct {
	Request   ledger.Record       `json:"request"`
	Permitted catalog.Permissions `json:"permitted"`
	Event     uint64              `json:"event"`
}

func showRequest(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	key := ledger.Key{Workspace: s.argument(0, "WORKSPACE"), RequestID: s.argument(1, "ID")}
	client := s.client()
	if err := s.err(); err != nil {
		return err
	}
	record, err := client.Request(ctx, key)
	if err != nil {
		return err
	}
	page, err := s.auditTrail(ctx)
	if err != nil {
		return err
	}
	permissions, event, err := permittedAt(page, key.Workspace, record.BeganAt)
	if err != nil {
		return err
	}
	return s.showDocument(explanation{Request: record, Permitted: permissions, Event: event})
}

// auditTrail returns the verified audit trail, read from --file or from the control.
func (s *settings) auditTrail(ctx context.Context) (audit.Page, error) {
	path := s.optional("file")
	if path == "" {
		client := s.client()
		if err := s.err(); err != nil {
			return audit.Page{}, err
		}
		page, err := client.FullTrail(ctx, 0)
		if err != nil {
			return page, err
		}
		return page, page.Verify()
	}
	if err := s.err(); err != nil {
		return audit.Page{}, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return audit.Page{}, errors.Trace(err)
	}
	page, err := audit.ReadExport(bytes.NewReader(data))
	return page, errors.Annotate(err, path)
}

// time parses a time as RFC 3339; an empty value means now.
func (s *settings) time(name string) time.Time {
	text := strings.TrimSpace(s.optional(name))
	if text == "" {
		return time.Now().UTC()
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		s.findings.Add("--"+name, "bad time "+text, "a time as 2026-12-03T10:00:00Z")
	}
	return at
}
