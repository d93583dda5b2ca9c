package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"rosereach/core/request"
	"rosereach/core/version"
	iobackend "rosereach/io/backend"
	"rosereach/io/platform"
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(iobackend.PathChat, e.postChat)
	r.Get(iobackend.PathRequests+"{id}", e.getRequest)
	r.Delete(iobackend.PathRequests+"{id}", func(_ http.ResponseWriter, r *http.Request) { e.abandon(chi.URLParam(r, "id")) })
	r.Post(platform.PathOrders, e.postOrder)
	r.Get("/v1/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Log.Runs()) })
	return r
}

func (e *Engine) postChat(w http.ResponseWriter, r *http.Request) {
	var body iobackend.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	ref, err := version.ParseRef(r.Header.Get(iobackend.HeaderVersion))
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	prefix := numberIn(r, iobackend.HeaderPrefix)
	offset := numberIn(r, iobackend.HeaderOffset)
	id := r.Header.Get(iobackend.HeaderRequestID)
	if run := r.Header.Get(iobackend.HeaderRun); run != "" {
		s, ok := e.resume(id, run)
		if !ok {
			refuse(w, http.StatusGone, "the run is no longer here")
			return
		}
		e.stream(w, r, s, offset)
		return
	}
	s := &sequence{
		id: id, ref: ref, priority: int(numberIn(r, iobackend.HeaderPriority)),
		prompt: body.Messages, skip: prefix, want: max(body.MaxTokens-prefix, 1), moved: make(chan struct{}),
	}
	s, ok := e.start(s, int(numberIn(r, iobackend.HeaderAttempt)))
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "leaving, or version not loaded")
		return
	}
	e.stream(w, r, s, prefix)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, offset int64) {
	defer e.detach(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(iobackend.HeaderRun, s.run)
	for {
		tokens, done, moved := e.after(s, offset)
		for _, token := range tokens {
			chunk := iobackend.NewChunk(s.id, s.ref, e.cfg.Clock.Now(), offset, token)
			if !writeEvent(w, chunk) {
				return
			}
			offset++
		}
		if done {
			writeEvent(w, iobackend.NewEndChunk(s.id, s.ref, e.cfg.Clock.Now(), s.usage))
			fmt.Fprint(w, "data: [DONE]\n\n") //nolint:errcheck // the entry has gone
			return
		}
		select {
		case <-moved:
		case <-r.Context().Done():
			return
		}
	}
}

// getRequest tells what became of a request.
func (e *Engine) getRequest(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	writeJSON(w, lookup(id, e.Log.Of(id)))
}

func lookup(id string, runs []Run) iobackend.Lookup {
	answer := iobackend.Lookup{RequestID: id, Outcome: request.NotRun}
	for _, run := range runs {
		if run.Whole {
			answer.Outcome = request.Done
		} else if answer.Outcome == request.NotRun {
			answer.Outcome = request.Unknown
		}
	}
	return answer
}

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(iobackend.HeaderOutcome, string(request.NotRun))
	http.Error(w, detail, status)
}

func writeEvent(w http.ResponseWriter, event any) bool {
	data, err := json.Marshal(event)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the asker has gone
}

func numberIn(r *http.Request, name string) int64 {
	v, err := strconv.ParseInt(r.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return v
}
