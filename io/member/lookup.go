package member

import "rosereach/core/ledger"

// KindInquire asks an entry to look up requests at backend servers after the
// entry that dispatched them has failed.
const KindInquire Kind = "inquire"

type (
	// InquireRequest lists the requests to look up.
	InquireRequest struct {
		Requests []Inquiry `json:"requests"`
	}

	// Inquiry identifies a request and the plain service that it called.
	Inquiry struct {
		Key     ledger.Key `json:"key"`
		Service string     `json:"service"`
	}

	// InquireReply holds the outcomes that backend servers reported. Requests
	// without a report are left out.
	InquireReply struct {
		Learnt []ledger.ReportedAnswer `json:"learnt,omitempty"`
	}
)
