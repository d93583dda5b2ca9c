package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/clock"

	"rosereach/core/request"
	"rosereach/core/version"
)

// stubRouter answers every request, and fails the test if the interface let an
// invalid one pass.
type stubRouter struct {
	t *testing.T
}

func (stubRouter) WorkspaceByKey(string) (string, error) { return "terminalna", nil }

func (s stubRouter) Complete(_ context.Context, req request.Request, sink Sink) (request.Answer, error) {
	if len(req.Messages) == 0 || req.Model == "" || req.MaxTokens <= 0 || req.ID == "" || !req.Idempotent {
		s.t.Errorf("request passed the checks: %+v", req)
	}
	a := request.Answer{Outcome: request.Done, Version: version.Ref{Model: "small", Version: "v1"}}
	return a, sink.WriteTokens(a.Version, 0, []string{"x"})
}

func (stubRouter) Call(_ context.Context, req request.Request) (request.Answer, error) {
	return request.Answer{Outcome: request.Done, Status: http.StatusOK, Body: req.Body}, nil
}

func (stubRouter) OpenSession(context.Context, request.Request) (string, error) { return "token", nil }

func (stubRouter) Resume(req request.Request, _ string) (request.Request, error) { return req, nil }

func (stubRouter) Addresses(string, string) ([]string, error) { return []string{"127.0.0.1:1"}, nil }

// For any body and headers of a chat, the answer is OK or a client error whose
// outcome is not_run.
func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"small","messages":[{"role":"user","content":"x"}],"stream":true}`), "id", "5", "100")
	f.Add([]byte(`{"model":"small@v1","messages":[{}],"max_tokens":-1}`), "", "-1", "x")
	f.Add([]byte(`{"model":`), "a b", "", "")
	f.Add([]byte(`[]`), strings.Repeat("x", 200), "1", "99999999999999999999")
	f.Fuzz(func(t *testing.T, body []byte, id, priority, timeout string) {
		r := chi.NewRouter()
		Mount(r, stubRouter{t}, Options{MaxBody: 1 << 16, Timeout: time.Second, Clock: clock.WallClock})
		req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(string(body)))
		req.Header.Set("Authorization", "Bearer key")
		req.Header[HeaderRequestID] = []string{id}
		req.Header[HeaderPriority] = []string{priority}
		req.Header[HeaderTimeout] = []string{timeout}
		w := httptest.NewRecorder()
		r.ServeHTTP(w, req)
		if w.Code == http.StatusOK {
			return
		}
		if w.Code >= http.StatusInternalServerError || w.Header().Get(HeaderOutcome) != string(request.NotRun) {
			t.Errorf("status %d, outcome %q", w.Code, w.Header().Get(HeaderOutcome))
		}
	})
}

// For any stream of events, an answer is complete only with its end marker.
func FuzzEvents(f *testing.F) {
	f.Add("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n")
	f.Add("data: {\"error\":{\"code\":\"answer_cut\"}}\n\n")
	f.Add("data: {\"choices\":null,\"usage\":{}}\n\n: ping\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		var r Reply
		err := r.readEvents(strings.NewReader(text), time.Now(), func(string) {})
		if r.Complete && (err != nil || !strings.Contains(text, "[DONE]")) {
			t.Errorf("complete without an end: %q, %v", text, err)
		}
	})
}
