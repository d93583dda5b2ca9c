package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"rosereach/core/backend"
	"rosereach/core/ledger"
	"rosereach/core/request"
	iobackend "rosereach/io/backend"
	"rosereach/io/member"
)

// maxLookups bounds the questions to backend servers that are on their way.
const maxLookups = 16

// inquire asks the backend servers of each request's service what became of
// it. Only the word that it is done counts: a server that does not know a
// request proves nothing about the others.
func (e *Entry) inquire(ctx context.Context, r member.InquireRequest) member.InquireReply {
	found := make([]*ledger.Learnt, len(r.Requests))
	var g errgroup.Group
	g.SetLimit(maxLookups)
	for i, one := range r.Requests {
		g.Go(func() error {
			found[i] = e.lookUp(ctx, one)
			return nil
		})
	}
	g.Wait() //nolint:errcheck // what cannot be learnt stays unknown
	var reply member.InquireReply
	for _, learnt := range found {
		if learnt != nil {
			reply.Learnt = append(reply.Learnt, *learnt)
		}
	}
	return reply
}

// lookUp returns nil when no backend server says that the request is done.
func (e *Entry) lookUp(ctx context.Context, one member.Inquiry) *ledger.Learnt {
	for _, server := range e.serversOf(one.Service) {
		known, err := e.engines.Ask(ctx, server.Address, one.Key.RequestID)
		if err != nil || known.Outcome != request.Done || known.RequestID != one.Key.RequestID {
			continue
		}
		return &ledger.Learnt{Key: one.Key, Answer: answerOf(known, server.ID)}
	}
	return nil
}

// answerOf returns the answer that a backend server kept for a call that is
// done, or says that none was kept.
func answerOf(known iobackend.Lookup, server string) request.Answer {
	a := request.Answer{Outcome: request.Done, Backend: server}
	if known.Status == 0 || len(known.Body) > maxRecordedBytes {
		a.Code = request.CodeAnswerNotKept
		return a
	}
	a.Status, a.ContentType, a.Body = known.Status, known.ContentType, known.Body
	return a
}

func (e *Entry) serversOf(service string) []backend.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.Known(service)
}
