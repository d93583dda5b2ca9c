package member

import "sync/atomic"

// Volume is the traffic with members, in bytes of messages before compression.
type Volume struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

var sent, received atomic.Int64

// Traffic returns this process's traffic with all members since it started.
func Traffic() Volume { return Volume{Sent: sent.Load(), Received: received.Load()} }
