// Package request describes one caller's request, the states it goes through
// and the three outcomes that it can have.
package request

import (
	_ "embed"
	"time"

	"rosereach/core/chart"
	"rosereach/core/version"
)

// The outcomes of a request. NotRun needs proof that no backend server ran
// it; Unknown is everything that can neither be proved done nor not run.
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

// The states of a request before its outcome. No attempt of a request that is
// Admitted, Queued or Dispatched for the first time can have run, once its
// backend server said so; from Retrying on, one may have.
const (
	Admitted     State = "admitted"
	Queued       State = "queued"
	Dispatched   State = "dispatched"
	Streaming    State = "streaming"
	Retrying     State = "retrying"
	Redispatched State = "redispatched"
)

// The triggers that move a request between states. Requeue needs proof that
// the attempt did not run; Retry follows an attempt that may have run.
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

// AutoModel is the model name with which a caller leaves the choice to us.
const AutoModel = "auto"

var (
	//go:embed request.json
	chartFile []byte

	// Chart is the state chart of a request.
	Chart = chart.MustLoad[State, Trigger](chartFile)
)

type (
	// Outcome says whether a request ran.
	Outcome string

	// Kind tells requests to models from calls of plain services.
	Kind string

	// State is a state of the embedded chart.
	State string

	// Trigger is a trigger of the embedded chart.
	Trigger string

	// Request is one admitted request. Body is the body as the caller sent it;
	// it is never logged. Service, Method and Path are set for plain calls,
	// Model, Version, Messages and MaxTokens for model requests. Version is
	// set when a session or the caller fixes it. Named says that the caller chose
	// the id, and so may have sent the request before.
	Request struct {
		ID         string
		Named      bool
		Workspace  string
		Kind       Kind
		Idempotent bool
		Priority   int
		Deadline   time.Time
		Session    string
		Body       []byte

		Model     string
		Version   *version.Ref
		Messages  []Message
		MaxTokens int64
		Stream    bool

		Service     string
		Method      string
		Path        string
		ContentType string
	}

	// Message is one message of a chat.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Usage counts the tokens of a request.
	Usage struct {
		InputTokens  int64 `json:"input_tokens"`
		OutputTokens int64 `json:"output_tokens"`
	}

	// Answer is the end of a request. Status and Body are those of a plain
	// service's answer, or the whole text of a model's answer.
	Answer struct {
		Outcome     Outcome     `json:"outcome"`
		Code        Code        `json:"code,omitempty"`
		Status      int         `json:"status"`
		ContentType string      `json:"content_type,omitempty"`
		Body        []byte      `json:"body,omitempty"`
		Version     version.Ref `json:"version"`
		Backend     string      `json:"backend,omitempty"`
		Usage       Usage       `json:"usage"`
		Repeated    bool        `json:"repeated,omitempty"`
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

// Outcome returns the outcome that a request in the state has when it ends
// now without an answer: NotRun only where the chart allows it.
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
