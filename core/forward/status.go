package forward

// ServerStatus is what a model engine reports about itself while a request waits
// for it.
type ServerStatus struct {
	// Running and Queued are the numbers of running and waiting requests.
	Running int
	Queued  int
	// RunsRequest is set when the request asked about is running.
	RunsRequest bool
	// Reported is set when the engine itself says so.
	Reported bool
}

// HoldsRequest reports whether the engine still has the request: it runs it, or it
// has requests in its queue, of which this may be one. It answers long queues at
// engines that share no other request with this entry. There an engine that reads
// other prompts for seconds is as silent as one that crashed, and to give it up
// would only send its queue to the next engine, to be read once more. An engine
// without a queue that does not run the request has lost it.
func (s ServerStatus) HoldsRequest() bool { return s.RunsRequest || s.Queued > 0 }
