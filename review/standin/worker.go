package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// worker is a sound worker of a plain service, but for what a case makes it do.
	worker struct {
		d       *deployment
		id      string
		service string
		version string
		address string
		zone    string
		slots   int
		work    time.Duration
		// fails returns whether it fails a request, with a status 500 of its own.
		fails func() bool
		// spoils returns bytes to send after a complete answer, at the point where the next
		// answer on the connection is expected; nil for none.
		spoils func() []byte

		born     int64
		mu       sync.Mutex
		sequence int
		state    string
		beatTo   int // index of the control that gets the heartbeats
		listener net.Listener
		runs     map[string]*run // by the id of the client's attempt
	}

	// run is what a worker made of a request.
	run struct {
		n      int
		status int
		body   string
		stamp  string
	}
)

// newWorker returns a worker of the service svc with an address of its own.
func newWorker(d *deployment, host int) *worker {
	return &worker{
		d: d, id: fmt.Sprintf("i-%d", host), service: "svc", version: "v1", address: fmt.Sprintf("%s:8080", d.ip(host)),
		zone: zoneOf(host), slots: 6, work: 20 * time.Millisecond, born: time.Now().UnixMilli(), state: "ready", runs: make(map[string]*run),
	}
}

// listen opens the worker's port and serves until the context ends.
func (w *worker) listen(ctx context.Context) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener = l
	w.mu.Unlock()
	go func() {
		<-ctx.Done()
		l.Close() //nolint:errcheck // Accept fails then
	}()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(ctx, conn)
		}
	}()
	return nil
}

// serve answers the requests on a connection, one at a time.
func (w *worker) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()                                      //nolint:errcheck // the connection is not used again
	stop := context.AfterFunc(ctx, func() { conn.Close() }) //nolint:errcheck // see above
	defer stop()
	in := bufio.NewReader(conn)
	var late []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if len(late) > 0 {
			w.d.rec.add("worker %s sends additional bytes before its answer to %s: %q", w.id, r.Header.Get("X-Rosereach-Attempt-Id"), late)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		if _, err := conn.Write(w.answer(r, body)); err != nil {
			return
		}
		if w.spoils != nil {
			late = w.spoils()
		}
	}
}

// answer runs a request and returns the answer.
func (w *worker) answer(r *http.Request, body []byte) []byte {
	id := r.Header.Get("X-Rosereach-Attempt-Id")
	if want := r.Header.Get("X-Rosereach-Expect-Instance"); want != "" && want != w.id {
		return encodeAnswer(http.StatusMisdirectedRequest, map[string]string{"X-Rosereach-Attempt-Id": id, "X-Rosereach-Not-Executed": "1"}, "")
	}
	if r.URL.Path == "/healthz" {
		return encodeAnswer(http.StatusOK, map[string]string{"X-Rosereach-Instance-Id": w.id}, "")
	}
	time.Sleep(w.work)
	done := w.run(r, id, body)
	return encodeAnswer(done.status, map[string]string{
		"X-Rosereach-Attempt-Id": id, "X-Rosereach-Server-Stamp": done.stamp, "Keep-Alive": "timeout=30",
		"X-Rosereach-Server-Load": fmt.Sprintf("1,0,%d", w.slots),
	}, done.body)
}

// run records the run of a request.
func (w *worker) run(r *http.Request, id string, body []byte) run {
	w.mu.Lock()
	defer w.mu.Unlock()
	done := w.runs[id]
	if done == nil {
		done = &run{}
		w.runs[id] = done
	}
	done.n++
	done.status = http.StatusOK
	if w.fails != nil && w.fails() {
		done.status = http.StatusInternalServerError
	}
	done.stamp = fmt.Sprintf("%s.%d", w.id, rand.Uint32()) //nolint:gosec // it only has to differ
	done.body = fmt.Sprintf("%s ran %s for %s, %d bytes", w.id, r.Method, id, len(body))
	w.d.rec.add("worker %s (version %s) ran %s %s, attempt %s, run %d: %d", w.id, w.version, r.Method, r.URL.Path, id, done.n, done.status)
	return *done
}

// find returns the run of a client's attempt, if there is one.
func (w *worker) find(id string) (run, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.runs[id]
	if !ok {
		return run{}, false
	}
	return *r, true
}

func encodeAnswer(status int, header map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %s\r\n\r\n%s", strconv.Itoa(len(body)), body)
	return b.Bytes()
}

// beat sends heartbeats until the context ends, each to the next control after a failure.
func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		to := w.beatTo
		w.mu.Unlock()
		if !w.register(to) { //nolint:contextcheck // a call has a time limit of its own
			w.mu.Lock()
			w.beatTo = (w.beatTo + 1) % len(w.d.controls)
			w.mu.Unlock()
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		sleep(ctx, 1200*time.Millisecond)
	}
}

// register sends one heartbeat to a control and reports whether it was acknowledged.
func (w *worker) register(control int) bool {
	w.mu.Lock()
	w.sequence++
	body, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": w.state,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	return err == nil && call(http.MethodPut, w.d.controls[control].at(portControl), "/instances/"+w.id, body) == http.StatusOK
}

// caller makes the calls of workers and operators.
var caller = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call and returns the status, 0 for no answer.
func call(method, address, path string, body []byte) int {
	status, _ := fetch(method, address, path, body)
	return status
}

func fetch(method, address, path string, body []byte) (int, []byte) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := caller.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}
