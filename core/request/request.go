// Package request defines a caller's request, its state machine and its three
// possible outcomes.
package request

import (
	_ "embed"
	"time"

	"rosereach/core/chart"
	"rosereach/core/version"
)

// The outcomes of a request. NotRun needs proof that no backend server ran it;
// Unknown is for a request that is neither known to be done nor proven not run.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// The kinds of request.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// The states of a request before its outcome. In Admitted and Queued no attempt has
// run. In Dispatched one may be running, until its backend server proves that it
// did not run. In Streaming, Retrying and Redispatched an attempt may have run.
const (
	Admitted     State = "admitted"
	Queued       State = "queued"
	Dispatched   State = "dispatched"
	Streaming    State = "streaming"
	Retrying     State = "retrying"
	Redispatched State = "redispatched"
)

// The triggers of the state machine. Requeue needs proof that the attempt did not
// run; Retry follows an attempt that may have run. Lose ends a request with an
// unknown outcome.
const (
	Enqueue  Trigger = "enqueue"
	Dispatch Trigger = "dispatch"
	Stream   Trigger = "stream"
	Requeue  Trigger = "requeue"
	Retry    Trigger = "retry"
	Finish   Trigger = "finish"
	Refuse   Trigger = "refuse"
	Lose     Trigger = "lose"
)

// AutoModel is the model name with which a caller lets the router choose the model.
const AutoModel = "auto"

var (
	//go:embed request.json
	chartFile []byte

	// Chart is the state chart of a request.
	Chart = chart.MustLoad[State, Trigger](chartFile)
)

type (
	// Outcome says whether a request was executed.
	Outcome string

	// Kind distinguishes requests to models from calls of plain services.
	Kind string

	// State is a state of the embedded chart.
	State string

	// Trigger is a trigger of the embedded chart.
	Trigger string

	// Request is one admitted request.
	Request struct {
		ID string
		// IDFromCaller is set when the caller chose the ID, and so may have sent the
		// request before.
		IDFromCaller bool
		Workspace    string
		Kind         Kind
		Idempotent   bool
		Priority     int
		Deadline     time.Time
		Session      string
		// Body is the body as the caller sent it. It is never logged.
		Body []byte

		// The following fields are set for model requests; Version only when a
		// session or the caller fixes it.
		Model     string
		Version   *version.Ref
		Messages  []Message
		MaxTokens int64
		Stream    bool

		// The following fields are set for calls of plain services.
		Service     string
		Method      string
		Path        string
		ContentType string
	}

	// Message is one message of a conversation with a model.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Usage is the number of tokens of a request.
	Usage struct {
		InputTokens  int64 `json:"input_tokens"`
		OutputTokens int64 `json:"output_tokens"`
	}

	// Answer is the outcome of a request and the answer, if there is one.
	Answer struct {
		Outcome Outcome `json:"outcome"`
		Code    Code    `json:"code,omitempty"`
		// Status is that of a plain service's response, and 200 for a complete
		// answer of a model.
		Status      int    `json:"status"`
		ContentType string `json:"content_type,omitempty"`
		// Body is a plain service's response body, or a model's whole text. It is
		// empty when Code is CodeAnswerNotKept.
		Body     []byte      `json:"body,omitempty"`
		Version  version.Ref `json:"version"`
		Backend  string      `json:"backend,omitempty"`
		Usage    Usage       `json:"usage"`
		Repeated bool        `json:"repeated,omitempty"`
	}
)

// IsFinal reports whether the state is an outcome.
func (s State) IsFinal() bool {
	switch Outcome(s) {
	case Done, NotRun, Unknown:
		return true
	}
	return false
}

// Outcome returns the outcome of a request that ends in the state without an answer:
// NotRun where the chart allows it, else Unknown.
func (s State) Outcome() Outcome {
	if Chart.Accepts(s, Refuse) {
		return NotRun
	}
	return Unknown
}

// Add returns the sum of two usages.
func (u Usage) Add(other Usage) Usage {
	return Usage{
		InputTokens:  u.InputTokens + other.InputTokens,
		OutputTokens: u.OutputTokens + other.OutputTokens,
	}
}
