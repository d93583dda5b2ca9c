package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"rosereach/core/backend"
	"rosereach/core/framing"
	"rosereach/core/ledger"
	"rosereach/core/request"
	iobackend "rosereach/io/backend"
	"rosereach/io/member"
)

// maxConcurrentLookups is the maximum number of concurrent queries to backend
// servers.
const maxConcurrentLookups = 16

// lookUpOutcomes queries the backend servers of each request's service for its
// outcome. Only a reply that the request is done is used: a server that has no
// record of it proves nothing about the others.
func (e *Entry) lookUpOutcomes(ctx context.Context, r member.OutcomesRequest) member.OutcomesReply {
	found := make([]*ledger.ReportedAnswer, len(r.Requests))
	var g errgroup.Group
	g.SetLimit(maxConcurrentLookups)
	for i, inquiry := range r.Requests {
		g.Go(func() error {
			found[i] = e.lookUpOutcome(ctx, inquiry)
			return nil
		})
	}
	g.Wait() //nolint:errcheck // the outcome stays unknown if a lookup fails
	var reply member.OutcomesReply
	for _, answer := range found {
		if answer != nil {
			reply.Answers = append(reply.Answers, *answer)
		}
	}
	return reply
}

// lookUpOutcome returns nil if no backend server reports that the request is
// done.
func (e *Entry) lookUpOutcome(ctx context.Context, inquiry member.OutcomeQuery) *ledger.ReportedAnswer {
	for _, server := range e.knownServers(inquiry.Service) {
		known, err := e.backends.LookUp(ctx, server.Address, inquiry.Key.RequestID)
		if err != nil || known.Outcome != request.Done || known.RequestID != inquiry.Key.RequestID {
			continue
		}
		return &ledger.ReportedAnswer{Key: inquiry.Key, Answer: recordedAnswer(known, server.ID)}
	}
	return nil
}

// recordedAnswer returns the answer that a backend server kept for a completed
// call, or one with CodeAnswerNotKept if it kept none, or none with a valid status, or
// the body is too large to record.
func recordedAnswer(known iobackend.Lookup, server string) request.Answer {
	a := request.Answer{Outcome: request.Done, Backend: server}
	if !framing.IsFinal(known.Status) || len(known.Body) > maxRecordedBytes {
		a.Code = request.CodeAnswerNotKept
		return a
	}
	a.Status, a.ContentType, a.Body = known.Status, known.ContentType, known.Body
	return a
}

func (e *Entry) knownServers(service string) []backend.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.Known(service)
}
