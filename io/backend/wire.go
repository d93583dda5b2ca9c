// Package backend is the HTTP interface to backend servers: it receives their
// announcements, streams answers from model engines and calls plain services.
package backend

import (
	"time"

	"rosereach/core/request"
	"rosereach/core/version"
)

// The headers of a call to a backend server. The request ID is not sent as
// Idempotency-Key, because Go's HTTP transport retries requests that have it.
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
	// ChatRequest is the body of a call to an engine.
	ChatRequest struct {
		Model     string            `json:"model"`
		Messages  []request.Message `json:"messages"`
		MaxTokens int64             `json:"max_tokens,omitempty"`
		Stream    bool              `json:"stream"`
		// Prefix is the text of an earlier, incomplete answer. The engine
		// continues after it.
		Prefix string `json:"prefix,omitempty"`
	}

	// Chunk is one server-sent event of a streamed chat completion.
	Chunk struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []Choice `json:"choices"`
		// Offset is the index of the chunk's first token in the whole answer.
		Offset int64 `json:"offset"`
		// Usage is set in the last chunk only.
		Usage *Usage `json:"usage,omitempty"`
	}

	// Choice is the only choice of a chunk.
	Choice struct {
		Index        int     `json:"index"`
		Delta        Delta   `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	}

	// Delta is the text that a chunk adds to the answer.
	Delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	// Usage is the token counts of a chat completion.
	Usage struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		TotalTokens      int64 `json:"total_tokens"`
	}

	// ChatCall is one attempt of a chat completion at one engine.
	ChatCall struct {
		Address   string // host:port
		RequestID string
		Attempt   int
		Deadline  time.Time
		Priority  int
		Version   version.Ref
		Messages  []request.Message
		MaxTokens int64
		// Offset is the number of tokens received by earlier attempts.
		Offset int64
		// RunID is the ID of the run to resume, or empty.
		RunID string
		// Prefix is the text received by earlier attempts. Without RunID, the
		// engine starts a new run that continues after it.
		Prefix string
		// Gate may prevent the attempt. When it is nil, the attempt is always
		// sent.
		Gate Gate
		// OnStall is asked when no token has arrived for stallTimeout, and again after
		// each further such time. It reports whether to end the attempt. When it is nil,
		// only the deadline ends a stalled attempt.
		OnStall func() bool
	}

	// Gate is a check just before the first byte of an attempt is written.
	Gate interface {
		// Check is called when the attempt has a connection. If it fails, the
		// attempt is not sent.
		Check() error

		// Written is called when the attempt was written or writing it failed.
		Written()
	}

	// Piece is a part of an answer's text.
	Piece struct {
		Offset int64 // index of the first token in the whole answer
		Text   string
	}

	// StreamEnd describes a complete answer.
	StreamEnd struct {
		// RunID is the engine's ID of the run, with which an incomplete answer can
		// be resumed. It is also set when Stream fails while reading the answer.
		RunID string
		Usage request.Usage
		// Tokens is the number of tokens of the whole answer.
		Tokens int64
	}

	// Lookup is the state of a request at a backend server. Status, ContentType
	// and Body are the answer of a completed call to a plain service, if the
	// server still has it.
	Lookup struct {
		RequestID   string          `json:"request_id"`
		Outcome     request.Outcome `json:"outcome"`
		Status      int             `json:"status,omitempty"`
		ContentType string          `json:"content_type,omitempty"`
		Body        []byte          `json:"body,omitempty"`
		Running     bool            `json:"running"`
	}

	// AttemptError is the error of an attempt. Outcome is NotRun only when the
	// attempt is proven not to have run.
	AttemptError struct {
		Outcome request.Outcome
		Cause   error
	}
)

// Error returns the outcome and the cause.
func (e *AttemptError) Error() string { return string(e.Outcome) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }
