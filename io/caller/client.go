package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"rosereach/core/request"
	iobackend "rosereach/io/backend"
	"rosereach/io/bounded"
)

const (
	// maxEventBytes is the maximum size of a server-sent event.
	maxEventBytes = 1 << 20

	// maxAnswerBytes is the maximum size of an answer, or of the text of a streamed one.
	maxAnswerBytes = 16 << 20
)

type (
	// Client sends requests to one entry as a caller, with one workspace's key.
	Client struct {
		Address string // host:port
		Key     string
		// HTTP is bounded.Client if it is nil.
		HTTP *http.Client
	}

	// CallOptions are the optional parts of a request. Empty ones are not sent.
	CallOptions struct {
		RequestID string
		Session   string
		Priority  string
		Timeout   time.Duration
		// OnText is called with each piece of a streamed answer as it arrives.
		OnText func(text string)
	}

	// Reply is an entry's answer to a request, possibly incomplete.
	Reply struct {
		RequestID string
		Status    int
		Version   string
		Text      string
		Tokens    int64
		// Complete is set when the answer was read to its end.
		Complete bool
		// Repeated is set when the answer is a stored one of an earlier attempt.
		Repeated bool
		// Problem is set when the request was refused or its answer failed.
		Problem *Problem
		// FirstToken is the time from sending to the first token of a stream.
		FirstToken time.Duration
		// Total is the time from sending to the end of the answer.
		Total time.Duration
	}

	// event is one server-sent event of an answer, a chunk or an error.
	event struct {
		iobackend.Chunk
		Error *Problem `json:"error"`
	}
)

// Outcome returns the outcome of the request as far as the caller knows it.
func (r Reply) Outcome() request.Outcome {
	switch {
	case r.Problem != nil:
		return r.Problem.Outcome
	case r.Complete:
		return request.Done
	}
	return request.Unknown
}

// Chat sends a chat completion. An error means that the connection failed or the
// answer could not be decoded, and the request's outcome is unknown. A refusal
// is no error but sets Reply.Problem.
func (c Client) Chat(ctx context.Context, body ChatRequest, opts CallOptions) (Reply, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	return c.send(ctx, http.MethodPost, "/v1/chat/completions", data, opts, body.Stream)
}

// Service calls a plain service. Errors are as for Chat.
func (c Client) Service(ctx context.Context, service, method, path string, body []byte, opts CallOptions) (Reply, error) {
	return c.send(ctx, method, "/v1/services/"+url.PathEscape(service)+path, body, opts, false)
}

// OpenSession opens a session for the model and returns its token. A refusal
// is an error with a *Problem as its cause.
func (c Client) OpenSession(ctx context.Context, model string, opts CallOptions) (string, error) {
	body, err := json.Marshal(sessionRequest{Model: model})
	if err != nil {
		return "", errors.Trace(err)
	}
	reply, err := c.send(ctx, http.MethodPost, "/v1/sessions", body, opts, false)
	if err != nil {
		return "", err
	}
	if reply.Problem != nil {
		return "", errors.Trace(reply.Problem)
	}
	var session SessionReply
	return session.Session, errors.Trace(json.Unmarshal([]byte(reply.Text), &session))
}

// FindAddresses returns the entries that a caller in the availability zone
// should use.
func (c Client) FindAddresses(ctx context.Context, region, zone string) (Addresses, error) {
	query := url.Values{"region": {region}, "availability_zone": {zone}}
	reply, err := c.send(ctx, http.MethodGet, "/v1/addresses?"+query.Encode(), nil, CallOptions{}, false)
	if err != nil {
		return Addresses{}, err
	}
	var a Addresses
	return a, errors.Trace(json.Unmarshal([]byte(reply.Text), &a))
}

func (c Client) send(ctx context.Context, method, path string, body []byte, opts CallOptions, stream bool) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	req.GetBody = nil
	c.setHeaders(req.Header, opts)
	client := c.HTTP
	if client == nil {
		client = bounded.Client
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Reply{}, errors.Annotatef(err, "entry at %s", c.Address)
	}
	defer resp.Body.Close()
	reply := Reply{
		RequestID: resp.Header.Get(HeaderRequestID), Status: resp.StatusCode,
		Version: resp.Header.Get(HeaderVersion), Repeated: resp.Header.Get(HeaderRepeated) == "true",
	}
	if stream && resp.StatusCode == http.StatusOK {
		err = reply.readEvents(resp.Body, start, opts.OnText)
	} else {
		err = reply.readBody(resp)
	}
	reply.Total = time.Since(start)
	return reply, err
}

func (c Client) setHeaders(h http.Header, opts CallOptions) {
	if c.Key != "" {
		h.Set("Authorization", "Bearer "+c.Key)
	}
	if opts.RequestID != "" {
		h.Set(HeaderRequestID, opts.RequestID)
	}
	if opts.Session != "" {
		h.Set(HeaderSession, opts.Session)
	}
	if opts.Priority != "" {
		h.Set(HeaderPriority, opts.Priority)
	}
	if opts.Timeout > 0 {
		h.Set(HeaderTimeout, strconv.FormatInt(opts.Timeout.Milliseconds(), 10))
	}
}

// readBody reads an answer that is not streamed, or a problem.
func (r *Reply) readBody(resp *http.Response) error {
	body, err := io.ReadAll(bounded.Body(resp, maxAnswerBytes))
	if err != nil {
		return errors.Annotate(err, "read answer")
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		r.Problem = &Problem{}
		return errors.Annotate(json.Unmarshal(body, r.Problem), "decode problem")
	}
	r.Text = string(body)
	r.Complete = true
	return nil
}

// readEvents reads a streamed answer up to its end marker or an error event.
func (r *Reply) readEvents(body io.Reader, start time.Time, onText func(string)) error {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			return nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return errors.Annotate(err, "decode event")
		}
		if e.Error != nil {
			r.Problem = e.Error
			return nil
		}
		r.addChunk(e.Chunk, &text, start, onText)
		if text.Len() > maxAnswerBytes {
			return errors.Errorf("the answer exceeds %d bytes", maxAnswerBytes)
		}
	}
	return errors.Annotate(scanner.Err(), "read answer")
}

// addChunk appends the chunk's text and records first token and usage.
func (r *Reply) addChunk(chunk iobackend.Chunk, text *strings.Builder, start time.Time, onText func(string)) {
	for _, choice := range chunk.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(start)
		}
		text.WriteString(choice.Delta.Content)
		if onText != nil {
			onText(choice.Delta.Content)
		}
	}
	if chunk.Usage != nil {
		r.Tokens = chunk.Usage.CompletionTokens
	}
}
