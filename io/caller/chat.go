package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"rosereach/core/request"
	"rosereach/core/version"
	iobackend "rosereach/io/backend"
)

// defaultMaxTokens is the limit on an answer whose request sets none.
const defaultMaxTokens = 256

type (
	// ChatRequest is the part of a chat completion's body that the router reads.
	ChatRequest struct {
		// Model is a model, a version as model@version, or auto.
		Model     string            `json:"model"`
		Messages  []request.Message `json:"messages"`
		MaxTokens int64             `json:"max_tokens"`
		Stream    bool              `json:"stream"`
	}

	// Completion is the answer to a chat completion that is not streamed.
	Completion struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Created int64              `json:"created"`
		Model   string             `json:"model"`
		Choices []CompletionChoice `json:"choices"`
		Usage   *iobackend.Usage   `json:"usage"`
	}

	// CompletionChoice is the only choice of a completion.
	CompletionChoice struct {
		Index        int             `json:"index"`
		Message      request.Message `json:"message"`
		FinishReason string          `json:"finish_reason"`
	}

	// sessionRequest is the body of a request for a session.
	sessionRequest struct {
		Model string `json:"model"`
	}

	// SessionReply is the answer to a request for a session.
	SessionReply struct {
		Session string `json:"session"`
	}

	// textSink collects the text of an answer.
	textSink struct{ text strings.Builder }
)

func (s *server) postChat(w http.ResponseWriter, r *http.Request) {
	req, err := s.newChat(w, r)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	if req.Stream {
		s.streamChat(w, r, req)
		return
	}
	sink := &textSink{}
	answer, err := s.router.Complete(r.Context(), req, sink)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	setAnswerHeaders(w.Header(), answer)
	writeJSON(w, http.StatusOK, Completion{
		ID: req.ID, Object: "chat.completion", Created: s.opts.Clock.Now().Unix(), Model: answer.Version.String(),
		Choices: []CompletionChoice{{
			Message: request.Message{Role: "assistant", Content: sink.text.String()}, FinishReason: "stop",
		}},
		Usage: iobackend.NewUsage(answer.Usage),
	})
}

// streamChat streams the answer as server-sent events. An error before the first
// event is returned with its HTTP status, a later one as an event.
func (s *server) streamChat(w http.ResponseWriter, r *http.Request, req request.Request) {
	sink := newEventSink(w, req.ID, s.opts.Clock)
	answer, err := s.router.Complete(r.Context(), req, sink)
	if err != nil && !sink.started {
		writeRefusal(w, err)
		return
	}
	if err != nil {
		sink.writeError(err)
		return
	}
	sink.writeEnd(answer)
}

// newChat decodes and validates the request for a chat completion.
func (s *server) newChat(w http.ResponseWriter, r *http.Request) (request.Request, error) {
	req, err := s.newRequest(w, r)
	if err != nil {
		return req, err
	}
	var body ChatRequest
	if err := json.Unmarshal(req.Body, &body); err != nil {
		return req, request.NewNotRun(request.CodeBadRequest, "the body is not valid JSON: "+err.Error())
	}
	if body.Model == "" || len(body.Messages) == 0 {
		return req, request.NewNotRun(request.CodeBadRequest, "the body needs model and messages")
	}
	req.Kind = request.Model
	req.Idempotent = true
	req.Messages = body.Messages
	req.Stream = body.Stream
	req.MaxTokens = body.MaxTokens
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	setModel(&req, body.Model)
	if token := r.Header.Get(HeaderSession); token != "" {
		return s.router.Resume(req, token)
	}
	return req, nil
}

// setModel sets the request's model and, for model@version, its version.
func setModel(req *request.Request, model string) {
	req.Model = model
	if ref, err := version.ParseRef(model); err == nil {
		req.Model = ref.Model
		req.Version = &ref
	}
}

func (s *server) postSession(w http.ResponseWriter, r *http.Request) {
	req, err := s.newRequest(w, r)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	var body sessionRequest
	if err := json.Unmarshal(req.Body, &body); err != nil || body.Model == "" {
		writeRefusal(w, request.NewNotRun(request.CodeBadRequest, "the body needs model"))
		return
	}
	req.Kind = request.Model
	req.Idempotent = true
	setModel(&req, body.Model)
	token, err := s.router.OpenSession(r.Context(), req)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeJSON(w, http.StatusOK, SessionReply{Session: token})
}

// WriteTokens appends the tokens to the collected text.
func (t *textSink) WriteTokens(_ version.Ref, _ int64, tokens []string) error {
	for _, token := range tokens {
		t.text.WriteString(token)
	}
	return nil
}
