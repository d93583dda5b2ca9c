package member

import "rosereach/core/ledger"

// KindInquire asks an entry what backend servers know of requests whose own
// entry is gone.
const KindInquire Kind = "inquire"

type (
	// InquireRequest names the requests.
	InquireRequest struct {
		Requests []Inquiry `json:"requests"`
	}

	// Inquiry is one request and the plain service that it called.
	Inquiry struct {
		Key     ledger.Key `json:"key"`
		Service string     `json:"service"`
	}

	// InquireReply holds what was learnt. Requests that no backend server could
	// tell of are left out.
	InquireReply struct {
		Learnt []ledger.ReportedAnswer `json:"learnt,omitempty"`
	}
)
