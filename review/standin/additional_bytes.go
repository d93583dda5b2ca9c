package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The dose of the site file: { kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0 }.
const (
	spoilShare = 0.03
	spoilTime  = 5 * time.Second
)

// additional are the bytes that faulty workers send after a complete answer.
var additional = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nOK",
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
}

// additionalBytes: three of five workers send additional bytes after 3 in 100 of their
// complete answers for 5 s. A client must not get them as the answer to its request.
func additionalBytes(s *scene) (bool, error) {
	var spoiling atomic.Bool
	var mu sync.Mutex
	n := 0
	spoil := func() []byte {
		if !spoiling.Load() || rand.Float64() >= spoilShare { //nolint:gosec // traffic
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		n++
		return []byte(additional[n%len(additional)])
	}
	var workers []*worker
	for i := range 5 {
		w := newWorker(s.deployment, 100+i)
		if i < 3 {
			w.spoils = spoil
		}
		workers = append(workers, w)
	}
	err := s.startService(workers, []map[string]any{plainRoute("r-listing", "/listing/", "unsafe", 1), plainRoute("r-lookup", "/lookup/", "safe", 2)})
	if err != nil {
		return false, err
	}
	traffic := &clients{d: s.deployment, pause: 100 * time.Millisecond, next: func() request {
		if rand.IntN(2) == 0 { //nolint:gosec // traffic
			return request{method: http.MethodGet, path: "/lookup/1"}
		}
		return request{method: http.MethodPost, path: "/listing/1"}
	}}
	ctx, stop := context.WithTimeout(s.ctx, 12*time.Second)
	defer stop()
	if s.trouble {
		time.AfterFunc(4*time.Second, func() { spoiling.Store(true) })
		time.AfterFunc(4*time.Second+spoilTime, func() { spoiling.Store(false) })
	}
	traffic.run(ctx, 12)
	return judgeAnswers(s, workers, traffic.sent), nil
}

// judgeAnswers counts what breaks a rule: successes without a worker's stamp (MIXED),
// promises that an unsafe request did not run though it did (REFUSED), and unsafe requests
// that ran more than once (TWICE).
func judgeAnswers(s *scene, workers []*worker, sent []request) bool {
	mixed, refused, twice, served := 0, 0, 0, 0
	for _, r := range sent {
		runs, unsafe := 0, r.method == http.MethodPost
		for _, w := range workers {
			done, _ := w.find(r.id)
			runs += done.n
		}
		if unsafe && runs > 1 {
			twice++
			s.rec.add("TWICE: attempt %s is unsafe and ran %d times", r.id, runs)
		}
		switch {
		case r.status/100 == 2 && r.stamp == "":
			mixed++
			s.rec.add("MIXED: attempt %s (%s) got a success without a stamp: %q", r.id, r.method, r.body)
		case r.status/100 == 2:
			served++
		case unsafe && runs > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusMisdirectedRequest):
			refused++
			s.rec.add("REFUSED: attempt %s is unsafe, was answered %d and has run", r.id, r.status)
		}
	}
	s.rec.say("%d requests, %d served properly; MIXED: %d successes without a worker's stamp; REFUSED: %d unsafe requests answered 503 or 421 that have run; TWICE: %d unsafe requests that ran more than once", len(sent), served, mixed, refused, twice)
	return mixed > 0
}
