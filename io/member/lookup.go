package member

import "rosereach/core/ledger"

// KindOutcomes asks an entry to look up requests at backend servers after the
// entry that dispatched them has failed.
const KindOutcomes Kind = "inquire"

type (
	// OutcomesRequest lists the requests to look up.
	OutcomesRequest struct {
		Requests []OutcomeQuery `json:"requests"`
	}

	// OutcomeQuery identifies a request and the plain service that it called.
	OutcomeQuery struct {
		Key     ledger.Key `json:"key"`
		Service string     `json:"service"`
	}

	// OutcomesReply holds the outcomes that backend servers reported. Requests
	// without a report are left out.
	OutcomesReply struct {
		Answers []ledger.ReportedAnswer `json:"learnt,omitempty"`
	}
)
