package entry

import (
	"context"
	"sync"

	"rosereach/core/ledger"
	"rosereach/core/request"
)

// executionTable holds the requests that this entry is running, by key. A
// request stays until its end is recorded, so that a resend never starts it a
// second time in parallel.
type executionTable struct {
	mu    sync.Mutex
	byKey map[ledger.Key]*execution
}

func newExecutionTable() *executionTable {
	return &executionTable{byKey: make(map[ledger.Key]*execution)}
}

// join returns the execution of the request, and whether it is new. The caller
// must run a new one.
func (t *executionTable) join(ctx context.Context, req request.Request) (*execution, bool, error) {
	hash := bodyHash(req)
	key := ledger.Key{Workspace: req.Workspace, RequestID: req.ID}
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok := t.byKey[key]; ok {
		if x.hash != hash {
			return nil, false, request.NewNotRun(request.CodeIDReused, "the request id is in use for another request; choose a new id")
		}
		return x, false, nil
	}
	x := newExecution(ctx, req, hash)
	t.byKey[key] = x
	return x, true, nil
}

func (t *executionTable) remove(x *execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byKey, x.key())
	close(x.recorded)
}

func (t *executionTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}
