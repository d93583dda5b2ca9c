package entry

import (
	"context"
	"sync"

	"rosereach/core/ledger"
	"rosereach/core/request"
)

// table holds the requests that this entry is running, by key. A
// request stays until its end is recorded, so that a resend never starts it a
// second time in parallel.
type table struct {
	mu         sync.Mutex
	executions map[ledger.Key]*execution
}

func newTable() *table { return &table{executions: make(map[ledger.Key]*execution)} }

// join returns the execution of the request, and whether it is new. The caller
// must run a new one.
func (t *table) join(ctx context.Context, req request.Request) (*execution, bool, error) {
	hash := bodyHash(req)
	key := ledger.Key{Workspace: req.Workspace, RequestID: req.ID}
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok := t.executions[key]; ok {
		if x.hash != hash {
			return nil, false, request.NewNotRun(request.CodeBodyMismatch, "the request id is in use for another request; choose a new id")
		}
		return x, false, nil
	}
	x := newExecution(ctx, req, hash)
	t.executions[key] = x
	return x, true, nil
}

func (t *table) remove(x *execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.executions, x.key())
	close(x.gone)
}

func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.executions)
}
