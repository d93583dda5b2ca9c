package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"rosereach/core/request"
	"rosereach/core/version"
)

const (
	// maxEventBytes is the maximum size of a server-sent event.
	maxEventBytes = 1 << 20

	// maxAnswerBytes is the maximum size of a plain service's answer.
	maxAnswerBytes = 16 << 20

	eventPrefix = "data: "
	eventDone   = "[DONE]"
)

// The causes of an incomplete answer.
const (
	// ErrTruncated means that the stream ended without usage and end marker.
	ErrTruncated = errors.ConstError("the answer was cut")
	// ErrUnproven means that only the end of the connection marks the end of the answer.
	ErrUnproven = errors.ConstError("the answer has neither a length nor chunks and may be cut")
	// ErrRunLost means that the engine did not resume the requested run.
	ErrRunLost = errors.ConstError("the engine has lost the run")
	// ErrStalled means that no token arrived within stallTimeout.
	ErrStalled = errors.ConstError("the answer stalled")
)

type (
	// PlainCall is one attempt of a call to a plain service.
	PlainCall struct {
		Address   string // host:port
		RequestID string
		Attempt   int
		// Deadline is left out of the call when it is zero.
		Deadline time.Time
		// Idempotent calls may reuse a connection, on which Go's transport may
		// send them twice.
		Idempotent  bool
		Method      string
		Path        string
		ContentType string
		Body        []byte
		Gate        Gate
	}

	// PlainAnswer is the answer of a plain service.
	PlainAnswer struct {
		Status      int
		ContentType string
		Body        []byte
	}
)

// Stream runs a chat completion and passes each piece of the answer to onPiece,
// in the order in which the engine sends them. The error is an *AttemptError.
func (c *Client) Stream(ctx context.Context, call ChatCall, onPiece func(Piece) error) (StreamEnd, error) {
	body, err := json.Marshal(ChatRequest{
		Model: call.Version.Model, Messages: call.Messages, MaxTokens: call.MaxTokens, Stream: true, Prefix: call.Prefix,
	})
	if err != nil {
		return StreamEnd{}, notRun(err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+call.Address+PathChat, bytes.NewReader(body))
	if err != nil {
		return StreamEnd{}, notRun(err)
	}
	req.Header.Set("Content-Type", "application/json")
	setCommonHeaders(req.Header, call.RequestID, call.Attempt, call.Deadline)
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	req.Header.Set(HeaderVersion, call.Version.String())
	switch {
	case call.RunID != "":
		req.Header.Set(HeaderRun, call.RunID)
		req.Header.Set(HeaderOffset, strconv.FormatInt(call.Offset, 10))
	case call.Prefix != "":
		req.Header.Set(HeaderPrefix, strconv.FormatInt(call.Offset, 10))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, err := c.do(ctx, c.pooled, req, call.Gate)
	if err != nil {
		return StreamEnd{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return StreamEnd{}, statusError(resp)
	}
	run := resp.Header.Get(HeaderRun)
	if call.RunID != "" && run != call.RunID {
		return StreamEnd{}, unknown(errors.Annotatef(ErrRunLost, "run %q in place of %q", run, call.RunID))
	}
	stall := c.watchStall(call.OnStall, func() { cancel(ErrStalled) })
	defer stall.stop()
	end, err := readStream(resp.Body, call.RequestID, func(p Piece) error {
		stall.reset()
		return onPiece(p)
	})
	end.RunID = run
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, ErrStalled) {
		err = unknown(cause)
	}
	return end, err
}

// Plain calls a plain service. The error is an *AttemptError.
func (c *Client) Plain(ctx context.Context, call PlainCall) (PlainAnswer, error) {
	req, err := http.NewRequest(call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return PlainAnswer{}, notRun(err)
	}
	client := c.pooled
	if !call.Idempotent {
		client = c.unpooled
		req.Body, req.GetBody = unrepeatableBody{req.Body}, nil
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	setCommonHeaders(req.Header, call.RequestID, call.Attempt, call.Deadline)
	resp, err := c.do(ctx, client, req, call.Gate)
	if err != nil {
		return PlainAnswer{}, err
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderOutcome) == string(request.NotRun) {
		return PlainAnswer{}, statusError(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return PlainAnswer{}, unknown(err)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && req.Method != http.MethodHead {
		return PlainAnswer{}, unknown(ErrUnproven)
	}
	if len(body) > maxAnswerBytes {
		return PlainAnswer{}, unknown(errors.Errorf("answer exceeds %d bytes", maxAnswerBytes))
	}
	return PlainAnswer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// setCommonHeaders sets the headers that all calls have. A zero deadline is left out.
func setCommonHeaders(h http.Header, id string, attempt int, deadline time.Time) {
	h.Set(HeaderRequestID, id)
	h.Set(HeaderAttempt, strconv.Itoa(attempt))
	if !deadline.IsZero() {
		h.Set(HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	}
}

// statusError returns the error of an answer that is not a success. Its outcome is
// not_run only if the backend server says so in HeaderOutcome.
func statusError(resp *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil {
		return unknown(err)
	}
	cause := errors.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	if resp.Header.Get(HeaderOutcome) == string(request.NotRun) {
		return notRun(cause)
	}
	return unknown(cause)
}

// readStream reads the events of a streamed answer up to the end marker. It
// fails if the stream ends before usage and end marker, or if an event belongs
// to another request. It parses events through a Layout where that matches and
// through the JSON library otherwise.
func readStream(r io.Reader, id string, onPiece func(Piece) error) (StreamEnd, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var (
		end    *StreamEnd
		layout Layout
	)
	for scanner.Scan() {
		event, ok := bytes.CutPrefix(scanner.Bytes(), []byte(eventPrefix))
		if !ok {
			continue
		}
		if end != nil && string(event) == eventDone {
			return *end, nil
		}
		if piece, ok := layout.Parse(event); ok {
			if err := onPiece(piece); err != nil {
				return StreamEnd{}, unknown(err)
			}
			continue
		}
		chunk, err := parseChunk(event, id)
		if err != nil {
			return StreamEnd{}, unknown(err)
		}
		if err := emitChunk(chunk, onPiece); err != nil {
			return StreamEnd{}, unknown(err)
		}
		if chunk.Usage != nil {
			end = newStreamEnd(chunk)
		}
		if !layout.MatchesStart(event) {
			layout, _ = ParseLayout(event)
		}
	}
	if err := scanner.Err(); err != nil {
		return StreamEnd{}, unknown(err)
	}
	return StreamEnd{}, unknown(ErrTruncated)
}

// parseChunk decodes an event and checks that it belongs to the request.
func parseChunk(event []byte, id string) (Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(event, &chunk); err != nil {
		return chunk, errors.Annotate(err, "decode event of the answer")
	}
	if chunk.ID != id {
		return chunk, errors.Errorf("event belongs to another answer, %q", chunk.ID)
	}
	if len(chunk.Choices) != 1 {
		return chunk, errors.Errorf("event has %d choices, want 1", len(chunk.Choices))
	}
	return chunk, nil
}

// emitChunk passes the chunk's text to onPiece unless it is empty.
func emitChunk(chunk Chunk, onPiece func(Piece) error) error {
	text := chunk.Choices[0].Delta.Content
	if text == "" {
		return nil
	}
	return onPiece(Piece{Offset: chunk.Offset, Text: text})
}

func newStreamEnd(chunk Chunk) *StreamEnd {
	return &StreamEnd{
		Usage:  request.Usage{InputTokens: chunk.Usage.PromptTokens, OutputTokens: chunk.Usage.CompletionTokens},
		Tokens: chunk.Usage.CompletionTokens,
	}
}

func notRun(cause error) error  { return &AttemptError{Outcome: request.NotRun, Cause: cause} }
func unknown(cause error) error { return &AttemptError{Outcome: request.Unknown, Cause: cause} }

// NewChunk returns a chunk with text, in the form that engines and entries send.
func NewChunk(id string, ref version.Ref, at time.Time, offset int64, text string) Chunk {
	return Chunk{
		ID: id, Object: "chat.completion.chunk", Created: at.Unix(), Model: ref.String(), Offset: offset,
		Choices: []Choice{{Delta: Delta{Content: text}}},
	}
}

// NewEndChunk returns the last chunk of an answer.
func NewEndChunk(id string, ref version.Ref, at time.Time, usage request.Usage) Chunk {
	stop := "stop"
	chunk := NewChunk(id, ref, at, usage.OutputTokens, "")
	chunk.Choices[0].FinishReason = &stop
	chunk.Usage = NewUsage(usage)
	return chunk
}

// NewUsage converts token counts to the usage object of a chat completion.
func NewUsage(u request.Usage) *Usage {
	return &Usage{
		PromptTokens: u.InputTokens, CompletionTokens: u.OutputTokens, TotalTokens: u.InputTokens + u.OutputTokens,
	}
}
