package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// foreignHeartbeat: another writer sends one heartbeat without version, slots,
// cold_remaining_ms and born, with the address of a web server of its own, which knows none
// of the paths. Such a heartbeat names no worker to use.
func foreignHeartbeat(s *scene) (bool, error) {
	var workers []*worker
	for i := range 3 {
		workers = append(workers, newWorker(s.deployment, 100+i))
	}
	address := fmt.Sprintf("%s:8080", s.ip(120))
	hits, err := foreignServer(s, address)
	if err != nil {
		return false, err
	}
	err = s.startService(workers, []map[string]any{plainRoute("r-listing", "/listing/", "unsafe", 1), plainRoute("r-lookup", "/lookup/", "safe", 2)})
	if err != nil {
		return false, err
	}
	traffic := &clients{d: s.deployment, pause: 200 * time.Millisecond, next: func() request {
		if rand.IntN(2) == 0 { //nolint:gosec // traffic
			return request{method: http.MethodGet, path: "/lookup/1"}
		}
		return request{method: http.MethodPost, path: "/listing/1"}
	}}
	ctx, stop := context.WithTimeout(s.ctx, 15*time.Second)
	defer stop()
	if s.trouble {
		body, err := json.Marshal(map[string]any{"service": "svc", "address": address, "zone": "za", "state": "ready", "sequence": 1})
		if err != nil {
			return false, err
		}
		time.AfterFunc(6*time.Second, func() {
			status := call(http.MethodPut, s.controls[0].at(portControl), "/instances/other-1", body)
			s.rec.add("another writer's heartbeat %s was answered %d", body, status)
		})
	}
	traffic.run(ctx, 12)
	denied := 0
	for _, r := range traffic.sent {
		if r.status == http.StatusNotFound {
			denied++
			s.rec.add("DENIED: attempt %s (%s %s), sent at %.4f s, was answered 404: %q", r.id, r.method, r.path, r.sentAt.Seconds(), r.body)
		}
	}
	allowed := 5 + len(traffic.sent)/500
	s.rec.say("%d requests; DENIED: %d were answered 404 on routes of the configuration, %d are allowed; the other writer's server got %d requests", len(traffic.sent), denied, allowed, hits.Load())
	return denied > allowed, nil
}

// foreignServer serves on the address, knows no path, and counts its requests.
func foreignServer(s *scene, address string) (*atomic.Int64, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	hits := new(atomic.Int64)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // it is not used
		hits.Add(1)
		s.rec.add("the other writer's server got %s %s, attempt %s", r.Method, r.URL.Path, r.Header.Get("X-Rosereach-Attempt-Id"))
		http.NotFound(w, r)
	})}
	context.AfterFunc(s.ctx, func() { server.Close() }) //nolint:errcheck // it ends with the play
	go server.Serve(l)                                  //nolint:errcheck // it ends with the play
	return hits, nil
}
