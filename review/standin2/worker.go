package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerAttempt     = "X-Rosereach-Attempt-Id"
	headerInstance    = "X-Rosereach-Expect-Instance"
	headerStamp       = "X-Rosereach-Server-Stamp"
	headerNotExecuted = "X-Rosereach-Not-Executed"

	heartbeatInterval = 1200 * time.Millisecond
	workTime          = 20 * time.Millisecond
	slots             = 6
)

// worker is a sound worker of the service, apart from what answer does.
type worker struct {
	id       string
	address  string
	controls []string
	born     int64
	answer   func(w *worker, out http.ResponseWriter, id string)

	mu       sync.Mutex
	sequence int
	ran      map[string]int // runs by attempt id
}

// startWorker starts a worker on the address and announces it.
func startWorker(id, address string, controls []string, answer func(*worker, http.ResponseWriter, string)) (*worker, error) {
	l, err := net.Listen("tcp", address) //nolint:noctx // it stays open
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, address: address, controls: controls, born: time.Now().UnixMilli(), answer: answer, ran: make(map[string]int)}
	go http.Serve(l, w) //nolint:errcheck,gosec // it serves until the process ends
	go w.announce()
	return w, nil
}

// announce sends heartbeats, each to the next control if one does not answer.
func (w *worker) announce() {
	for i := 0; ; i++ {
		w.mu.Lock()
		w.sequence++
		body, err := json.Marshal(map[string]any{
			"service": "wuno96b", "address": w.address, "zone": "sanjose", "version": "v1", "slots": slots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
		})
		w.mu.Unlock()
		if err != nil {
			panic(err)
		}
		for j := range w.controls {
			status, _ := call(http.MethodPut, "http://"+w.controls[(i+j)%len(w.controls)]+"/instances/"+w.id, body)
			if status/100 == 2 {
				break
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	out.Header().Set(headerAttempt, id)
	switch {
	case r.URL.Path == "/healthz":
		out.Header().Set("X-Rosereach-Instance-Id", w.id)
		return
	case r.Header.Get(headerInstance) != "" && r.Header.Get(headerInstance) != w.id:
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		out.Header().Set(headerNotExecuted, "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	io.Copy(io.Discard, r.Body) //nolint:errcheck // a request that breaks off runs as well
	w.mu.Lock()
	w.ran[id]++
	w.mu.Unlock()
	time.Sleep(workTime)
	w.answer(w, out, id)
}

// answerWell answers with success.
func answerWell(w *worker, out http.ResponseWriter, id string) {
	out.Header().Set(headerStamp, "stamp."+w.id+"."+id)
	fmt.Fprintf(out, "done %s\n", id) //nolint:errcheck // the caller may have gone
}

// runs returns how often the worker ran the attempt.
func (w *worker) runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}
