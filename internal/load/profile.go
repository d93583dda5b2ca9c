// Package load is an open-loop load generator. It sends the request mixes of
// the two example customers at scheduled times, regardless of earlier answers,
// to the entries that the system advertises.
package load

import (
	"net/http"
	"time"

	"github.com/juju/errors"
)

// The kinds of requests.
const (
	Chat Kind = "chat"
	Call Kind = "call"
)

type (
	// Kind distinguishes chat requests to a model from calls to a plain service.
	Kind string

	// Range is a range of integers that includes both ends.
	Range struct{ Min, Max int64 }

	// Class is one type of request of a profile. Weight is its share of the
	// profile's requests. A class with Turns sends that many requests in each
	// session.
	Class struct {
		Name         string
		Weight       float64
		Kind         Kind
		Priority     string
		Timeout      time.Duration
		PromptTokens Range
		AnswerTokens Range
		Turns        int
		Service      string
		Method       string
		Path         string
		Idempotent   bool
	}

	// Profile is the request mix of one customer.
	Profile struct {
		Name         string
		SystemPrompt string
		Classes      []Class
	}
)

// Vitrina is the request mix of a register of vacant shops: traders ask short
// questions and read entries, officers draft dossiers, landlords file and
// withdraw listings.
func Vitrina() Profile {
	return Profile{
		Name:         "vitrina",
		SystemPrompt: "You answer for a register of empty shops. Name the street, the number and the state of the lease.",
		Classes: []Class{
			{Name: "question", Weight: 0.40, Kind: Chat, Priority: "2", Timeout: 10 * time.Second, PromptTokens: Range{20, 60}, AnswerTokens: Range{8, 40}, Idempotent: true},
			{Name: "conversation", Weight: 0.10, Kind: Chat, Priority: "2", Timeout: 10 * time.Second, PromptTokens: Range{20, 60}, AnswerTokens: Range{8, 40}, Turns: 4, Idempotent: true},
			{Name: "dossier", Weight: 0.06, Kind: Chat, Timeout: 60 * time.Second, PromptTokens: Range{800, 2000}, AnswerTokens: Range{150, 300}, Idempotent: true},
			{Name: "register_read", Weight: 0.30, Kind: Call, Priority: "2", Timeout: 5 * time.Second, Service: "register", Method: http.MethodGet, Path: "/shops/", Idempotent: true},
			{Name: "listing", Weight: 0.09, Kind: Call, Priority: "1", Timeout: 10 * time.Second, Service: "register", Method: http.MethodPost, Path: "/listings/"},
			{Name: "withdrawal", Weight: 0.05, Kind: Call, Priority: "1", Timeout: 10 * time.Second, Service: "register", Method: http.MethodDelete, Path: "/listings/"},
		},
	}
}

// Terminalna is the request mix of a clearing house for tank terminals:
// statements and explanations from the model, postings and balances from the
// ledger.
func Terminalna() Profile {
	return Profile{
		Name:         "terminalna",
		SystemPrompt: "You explain the throughput of tanks to accountants. Name every meter and every ledger that you used.",
		Classes: []Class{
			{Name: "statement", Weight: 0.08, Kind: Chat, Timeout: 60 * time.Second, PromptTokens: Range{600, 1500}, AnswerTokens: Range{120, 250}, Idempotent: true},
			{Name: "explanation", Weight: 0.25, Kind: Chat, Priority: "1", Timeout: 20 * time.Second, PromptTokens: Range{100, 400}, AnswerTokens: Range{40, 120}, Idempotent: true},
			{Name: "berth_log", Weight: 0.12, Kind: Chat, Timeout: 20 * time.Second, PromptTokens: Range{300, 900}, AnswerTokens: Range{20, 60}, Turns: 3, Idempotent: true},
			{Name: "posting", Weight: 0.25, Kind: Call, Priority: "2", Timeout: 10 * time.Second, Service: "ledger", Method: http.MethodPost, Path: "/invoices/"},
			{Name: "balance", Weight: 0.30, Kind: Call, Priority: "1", Timeout: 5 * time.Second, Service: "ledger", Method: http.MethodGet, Path: "/balances/", Idempotent: true},
		},
	}
}

// ProfileOf returns the profile with the given name.
func ProfileOf(name string) (Profile, error) {
	for _, p := range []Profile{Vitrina(), Terminalna()} {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, errors.NotFoundf("profile %q (available: vitrina, terminalna)", name)
}
