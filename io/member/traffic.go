package member

import "sync/atomic"

// TrafficBytes is the traffic with members, in bytes of messages before compression.
type TrafficBytes struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

var bytesSent, bytesReceived atomic.Int64

// Traffic returns this process's traffic with all members since it started.
func Traffic() TrafficBytes {
	return TrafficBytes{Sent: bytesSent.Load(), Received: bytesReceived.Load()}
}
