package fake

import (
	"encoding/json"
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
	r.Delete(iobackend.PathRequests+"{id}", func(w http.ResponseWriter, r *http.Request) {
		e.cancel(chi.URLParam(r, "id"))
		w.WriteHeader(http.StatusNoContent)
	})
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
	id := r.Header.Get(iobackend.HeaderRequestID)
	prefix := headerInt(r, iobackend.HeaderPrefix)
	if run := r.Header.Get(iobackend.HeaderRun); run != "" {
		s, updated, ok := e.resume(id, ref, run)
		if !ok {
			refuse(w, http.StatusGone, "the run is canceled, expired or unknown")
			return
		}
		e.stream(w, r, s, updated, headerInt(r, iobackend.HeaderOffset))
		return
	}
	s := &sequence{
		id: id, ref: ref, attempt: int(headerInt(r, iobackend.HeaderAttempt)), priority: int(headerInt(r, iobackend.HeaderPriority)),
		prompt: body.Messages, prefixTokens: prefix, maxTokens: max(body.MaxTokens-prefix, 1),
	}
	updated, ok := e.enqueue(s)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "the engine is leaving or has not loaded the version")
		return
	}
	e.stream(w, r, s, updated, prefix)
}

// stream sends the tokens from the offset on. Tokens that were generated since
// the last write are sent together.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, updated chan struct{}, offset int64) {
	defer e.detachStream(s, updated)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(iobackend.HeaderRun, s.runID)
	event, err := newEventWriter(s, e.cfg.Clock.Now())
	if err != nil {
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	controller := http.NewResponseController(w)
	var buffer []byte
	for {
		complete := s.inState(completed)
		buffer = buffer[:0]
		for end := s.tokenCount(); offset < end; offset++ {
			buffer = event.append(buffer, offset)
		}
		if complete {
			w.Write(event.appendEnd(buffer, e.cfg.Clock.Now())) //nolint:errcheck // the entry may have disconnected
			return
		}
		if s.inState(canceled) {
			return
		}
		if len(buffer) > 0 {
			if _, err := w.Write(buffer); err != nil || controller.Flush() != nil {
				return
			}
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return
		}
	}
}

// getRequest returns the outcome of a request.
func (e *Engine) getRequest(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	answer := lookup(id, e.Log.ByRequest(id))
	answer.Running = e.isActive(id)
	if answer.Running {
		answer.Outcome = request.Unknown
	}
	writeJSON(w, answer)
}

func lookup(id string, runs []Run) iobackend.Lookup {
	answer := iobackend.Lookup{RequestID: id, Outcome: request.NotRun}
	for _, run := range runs {
		if run.Completed {
			answer.Outcome = request.Done
		} else if answer.Outcome == request.NotRun {
			answer.Outcome = request.Unknown
		}
	}
	return answer
}

// refuse sends an error response with the outcome not_run.
func refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(iobackend.HeaderOutcome, string(request.NotRun))
	http.Error(w, detail, status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) //nolint:errcheck // the client may have disconnected
}

func headerInt(r *http.Request, name string) int64 {
	v, err := strconv.ParseInt(r.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return v
}
