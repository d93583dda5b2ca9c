package member

import "sync/atomic"

// Volume is what this process exchanged with members, in bytes of messages.
type Volume struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

var sent, received atomic.Int64

// Traffic returns what this process exchanged with members since its start.
func Traffic() Volume { return Volume{Sent: sent.Load(), Received: received.Load()} }
