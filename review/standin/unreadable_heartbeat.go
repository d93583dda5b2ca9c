package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// configApply is config_apply_ms.
	configApply = 3 * time.Second

	// unreadableID is the id of another writer's instance as it stands in the path: Latin-1,
	// and no text in UTF-8.
	unreadableID = "caf%E9"

	keptKey, revokedKey = "key-one", "key-two"
)

// unreadableHeartbeat: another writer sends one heartbeat to each control, of a service that
// is not named in the configuration, under an id with bytes that can't be read. Such a heartbeat
// names no worker to use; the others hold. Then the operator takes a key away and adds a route.
func unreadableHeartbeat(s *scene) (bool, error) {
	var workers []*worker
	for i := range 3 {
		workers = append(workers, newWorker(s.deployment, 100+i))
	}
	lookup, find := plainRoute("r-lookup", "/lookup/", "safe", 2), plainRoute("r-find", "/find/", "safe", 2)
	lookup["public"], find["public"] = false, false
	if err := s.start(); err != nil {
		return false, err
	}
	for _, w := range workers {
		if err := w.listen(s.ctx); err != nil {
			return false, err
		}
		go w.beat(s.ctx)
	}
	if err := s.awaitService(config(1, []map[string]any{lookup}, tenant(keptKey, revokedKey))); err != nil {
		return false, err
	}
	traffic := &clients{d: s.deployment, pause: 200 * time.Millisecond, next: func() request {
		switch rand.IntN(3) { //nolint:gosec // traffic
		case 0:
			return request{method: http.MethodGet, path: "/lookup/1", key: revokedKey}
		case 1:
			return request{method: http.MethodGet, path: "/find/1", key: keptKey}
		}
		return request{method: http.MethodGet, path: "/lookup/1", key: keptKey}
	}}
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		traffic.run(ctx, 6)
	}()
	sleep(ctx, contact+margin)
	if s.trouble {
		if err := s.sendUnreadable(); err != nil {
			return false, err
		}
	}
	sleep(ctx, time.Second)
	body, err := json.Marshal(config(2, []map[string]any{lookup, find}, tenant(keptKey)))
	if err != nil {
		return false, err
	}
	if !s.until(10*time.Second, func(i int) bool {
		return call(http.MethodPut, s.controls[i%len(s.controls)].at(portControl), "/config", body) == http.StatusOK
	}) {
		return false, fmt.Errorf("the second configuration was not acknowledged")
	}
	acknowledged := s.rec.now()
	s.rec.add("operator: version 2 is acknowledged")
	sleep(ctx, 20*time.Second)
	stop()
	<-ended
	return judgeConfig(s, workers, traffic.sent, acknowledged+configApply+margin), nil
}

// sendUnreadable sends the other writer's heartbeat, once to each control.
func (s *scene) sendUnreadable() error {
	body, err := json.Marshal(map[string]any{
		"service": "elsewhere", "address": fmt.Sprintf("%s:8080", s.ip(120)), "zone": "za", "version": "v1", "slots": 4,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	for _, c := range s.controls {
		status := call(http.MethodPut, c.at(portControl), "/instances/"+unreadableID, body)
		s.rec.add("another writer: PUT /instances/%s at %s: status %d", unreadableID, c.name, status)
	}
	return nil
}

// tenant returns the list of the one tenant, which has the keys.
func tenant(keys ...string) []map[string]any {
	return []map[string]any{{"name": "t-one", "api_keys": keys, "priority": 1}}
}

// judgeConfig counts the requests that were sent after the given time and handled as only the
// first configuration allows: run with the key that was taken away, or answered 404 on the route
// that was added.
func judgeConfig(s *scene, workers []*worker, sent []request, after time.Duration) bool {
	run, refused, all := 0, 0, 0
	var last time.Duration
	for _, r := range sent {
		if r.sentAt < after {
			continue
		}
		all++
		ran := false
		for _, w := range workers {
			_, found := w.find(r.id)
			ran = ran || found
		}
		switch {
		case r.key == revokedKey && ran:
			run++
			s.rec.add("CONFIG: attempt %s, sent at %.4f s, ran with a key that was taken away", r.id, r.sentAt.Seconds())
		case r.path == "/find/1" && r.status == http.StatusNotFound:
			refused++
			s.rec.add("CONFIG: attempt %s, sent at %.4f s, was refused on a route that is there", r.id, r.sentAt.Seconds())
		default:
			continue
		}
		last = max(last, r.sentAt)
	}
	s.rec.say("%d requests were sent after %.1f s, when version 2 has to be in force; CONFIG: %d ran with a key that it takes away, %d were answered 404 on a route that it adds, the last one sent at %.1f s", all, after.Seconds(), run, refused, last.Seconds())
	return run+refused > 0
}
