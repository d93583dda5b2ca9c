// Package backend speaks to backend servers: it takes their announcements,
// streams answers from model engines and calls plain services.
package backend

import (
	"time"

	"rosereach/core/request"
	"rosereach/core/version"
)

// The headers of a call to a backend server. The request id does not travel
// as Idempotency-Key, because Go's HTTP transport repeats calls that carry one.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	HeaderDeadline  = "X-Deadline-Ms"
	HeaderPriority  = "X-Priority"
	HeaderVersion   = "X-Model-Version"
	HeaderOffset    = "X-Resume-Offset"
	HeaderPrefix    = "X-Prefix-Tokens"
	HeaderOutcome   = "X-Outcome"
	HeaderRun       = "X-Run-Id"
)

// The paths that backend servers and entries serve for each other.
const (
	PathChat     = "/v1/chat/completions"
	PathRequests = "/v1/requests/"
	PathAnnounce = "/v1/backends"
)

type (
	// ChatRequest is the body of a call to an engine. Prefix is the text that a
	// broken answer had reached; the engine goes on behind it.
	ChatRequest struct {
		Model     string            `json:"model"`
		Messages  []request.Message `json:"messages"`
		MaxTokens int64             `json:"max_tokens,omitempty"`
		Stream    bool              `json:"stream"`
		Prefix    string            `json:"prefix,omitempty"`
	}

	// Chunk is one server-sent event of a streamed chat completion. Offset is
	// the index of the chunk's first token in the whole answer.
	Chunk struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []Choice `json:"choices"`
		Offset  int64    `json:"offset"`
		Usage   *Usage   `json:"usage,omitempty"`
	}

	// Choice is the only choice of a chunk.
	Choice struct {
		Index        int     `json:"index"`
		Delta        Delta   `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	}

	// Delta is the text that a chunk adds.
	Delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	// Usage counts tokens, in the names of chat completions.
	Usage struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		TotalTokens      int64 `json:"total_tokens"`
	}

	// Call is one attempt of a request at one backend server. Offset is the
	// number of tokens that have arrived already. With Run set, the engine goes
	// on with that run; with Prefix set, it starts a run behind that text.
	Call struct {
		Address   string
		RequestID string
		Attempt   int
		Deadline  time.Time
		Priority  int
		Version   version.Ref
		Messages  []request.Message
		MaxTokens int64
		Offset    int64
		Run       string
		Prefix    string
		Gate      Gate
	}

	// Gate stands before the first byte of an attempt. Check is asked when the
	// connection stands; its error keeps the attempt from being sent. Written is
	// told when the attempt's bytes are written, or cannot be. A nil Gate is open.
	Gate interface {
		Check() error
		Written()
	}

	// Piece is text of an answer. Offset is the index of its first token.
	Piece struct {
		Offset int64
		Text   string
	}

	// End is what an engine says when an answer is whole. Tokens is the number
	// of tokens of the whole answer. Run is the engine's name for its run,
	// under which a broken answer can be resumed; it is set with an error too.
	End struct {
		Run    string
		Usage  request.Usage
		Tokens int64
	}

	// Lookup tells what a backend server knows of a request. Status, ContentType
	// and Body are the answer of a call that is done, when it is kept.
	Lookup struct {
		RequestID   string          `json:"request_id"`
		Outcome     request.Outcome `json:"outcome"`
		Status      int             `json:"status,omitempty"`
		ContentType string          `json:"content_type,omitempty"`
		Body        []byte          `json:"body,omitempty"`
		Running     bool            `json:"running"`
	}

	// AttemptError says how an attempt failed and whether it may have run.
	AttemptError struct {
		Outcome request.Outcome
		Cause   error
	}
)

// Error gives outcome and cause.
func (e *AttemptError) Error() string { return string(e.Outcome) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }
