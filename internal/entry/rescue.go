package entry

import "sync/atomic"

// rescues counts the begun answers that were taken from silent servers in a stop, and of which no
// other server has sent more. One of which only the end is left needs a further retry: a second
// server has to agree on the end.
type rescues struct {
	service *atomic.Int64 // those of all requests for the service, which share its budget
	own     atomic.Int64  // those of one request
}

// rescuesFor returns the rescues of a new request for a service, none so far.
func (f *forwarder) rescuesFor(service string) *rescues {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.rescues[service]
	if !ok {
		n = &atomic.Int64{}
		f.rescues[service] = n
	}
	return &rescues{service: n}
}

// takeRescue takes a retry for an answer that is taken from a silent server. It leaves one for each
// such answer, so that none is given up at its server for an end that nothing can prove.
func (f *forwarder) takeRescue(service string, r *rescues) bool {
	if left := r.service.Add(1); !f.takeRetryLeaving(service, true, int(left)) {
		r.service.Add(-1)
		return false
	}
	r.own.Add(1)
	return true
}

// end records that the request needs no more retries for its rescues.
func (r *rescues) end() {
	if r != nil {
		r.service.Add(-r.own.Swap(0))
	}
}
