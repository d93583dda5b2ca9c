package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

const (
	// lookupErrors is the share of lookups that a sound worker fails, as on the sheet.
	lookupErrors = 0.14

	drainTime = 3 * time.Second // drain_ms
	contact   = 4 * time.Second // contact_ms

	// margin is added to the time from which on requests are judged.
	margin = 500 * time.Millisecond

	// downTime is for how long the control is without power: after_ack_kill, for_s = 3.0.
	downTime = 3 * time.Second

	// serveOn is for how long a worker that has left serves on: drain_ms and many seconds.
	serveOn = drainTime + 8*time.Second
)

// lostLeave: a worker is replaced. The new one starts, the old one sends DELETE and serves
// on. The control that has acknowledged the DELETE loses power right after it.
func lostLeave(s *scene) (bool, error) {
	fails := func() bool { return rand.Float64() < lookupErrors } //nolint:gosec // traffic
	stays, leaves, comes := newWorker(s.deployment, 100), newWorker(s.deployment, 101), newWorker(s.deployment, 102)
	for _, w := range []*worker{stays, leaves, comes} {
		w.fails = fails
	}
	beating, stopBeating := context.WithCancel(s.ctx)
	defer stopBeating()
	if err := leaves.listen(s.ctx); err != nil {
		return false, err
	}
	go leaves.beat(beating)
	if err := s.startService([]*worker{stays}, []map[string]any{plainRoute("r-lookup", "/lookup/", "safe", 3)}); err != nil {
		return false, err
	}
	if err := comes.listen(s.ctx); err != nil {
		return false, err
	}
	traffic := &clients{d: s.deployment, pause: 100 * time.Millisecond, next: func() request { return request{method: http.MethodGet, path: "/lookup/1"} }}
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		traffic.run(ctx, 10)
	}()
	sleep(ctx, 6*time.Second)

	const at = 1 // the control that both call
	stopBeating()
	sleep(ctx, 1300*time.Millisecond) // the last heartbeat of the old worker has been answered
	if !comes.register(at) {
		return false, fmt.Errorf("the new worker was not registered")
	}
	s.rec.add("worker %s is registered at %s", comes.id, s.controls[at].name)
	if !leaves.withdraw(at) {
		return false, fmt.Errorf("the DELETE was not acknowledged")
	}
	acknowledged := s.rec.now()
	if s.trouble {
		s.controls[at].signal(syscall.SIGKILL)
	}
	s.rec.add("the DELETE of worker %s was acknowledged by %s at %.4f s", leaves.id, s.controls[at].name, acknowledged.Seconds())
	go comes.beat(s.ctx)
	calm := acknowledged
	if s.trouble {
		s.controls[at].kill()
		sleep(ctx, downTime)
		if err := s.controls[at].start(); err != nil {
			return false, err
		}
		calm = s.rec.now() + contact + margin
	}
	sleep(ctx, serveOn-(s.rec.now()-acknowledged))
	stop()
	<-ended
	return judgeLeave(s, leaves, traffic.sent, max(acknowledged+drainTime+margin, calm)), nil
}

// judgeLeave counts the requests that were sent after the given time, when all machines are
// in touch, and reached the worker that has left.
func judgeLeave(s *scene, w *worker, sent []request, after time.Duration) bool {
	late, all := 0, 0
	for _, r := range sent {
		if r.sentAt < after {
			continue
		}
		all++
		if _, ran := w.find(r.id); ran {
			late++
			s.rec.add("DRAIN: attempt %s, sent at %.4f s, ran at worker %s", r.id, r.sentAt.Seconds(), w.id)
		}
	}
	s.rec.say("%d requests were sent after %.1f s; DRAIN: %d of them reached worker %s", all, after.Seconds(), late, w.id)
	return late > 0
}
