package forward

import (
	"rosereach/core/overload"
	"rosereach/core/route"
)

// defaultMaxBodyBytes limits a body while no routing plan sets a limit.
const defaultMaxBodyBytes = 4 << 20

// MaxBodyBytes returns how large the body of a request may be.
func MaxBodyBytes(l route.Limits) int64 {
	if l.MaxBodyBytes > 0 {
		return l.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// CheckSizes returns the failure of a request whose head, or whose body as announced, is over a
// limit, in bytes; nil if neither is. A body whose size is not announced, -1, is checked as it
// arrives.
//
// It answers clients that send more than the limits allow: they are rejected before anything of the
// body is held.
func CheckSizes(l route.Limits, head int, body int64) *Failure {
	if l.MaxHeaderBytes > 0 && head > l.MaxHeaderBytes {
		return &Failure{Code: HeaderTooLarge, Detail: "the header is over the limit"}
	}
	if body > MaxBodyBytes(l) {
		return NewBodyTooLarge()
	}
	return nil
}

// NewBodyTooLarge returns the failure of a request whose body is over the limit.
func NewBodyTooLarge() *Failure {
	return &Failure{Code: TooLarge, Detail: "the body is over the limit"}
}

// FailureForRefusal returns the failure of a request whose body was refused while it arrived. The
// request did not run: callers come back after a refusal for want of room, which is not their fault,
// and not after one that used up its time.
func FailureForRefusal(r *overload.Refusal) *Failure {
	switch r.Reason {
	case overload.TooSlow:
		return &Failure{Code: TooSlow, Detail: r.Error()}
	case overload.Stopping:
		return &Failure{Code: Draining, Detail: r.Error(), RetryAfter: r.RetryAfter}
	}
	return &Failure{Code: Overloaded, Detail: r.Error(), RetryAfter: r.RetryAfter}
}
