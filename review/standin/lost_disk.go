package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// catchUp and recoverTime are catch_up_s and recover_s of the bounds.
	catchUp     = 4 * time.Second
	recoverTime = 12 * time.Second

	// graceTime is grace_s: a process that has not exited by then is killed.
	graceTime = 8 * time.Second

	// diskDown is how long the machine is down that loses its disk. The site's final faults
	// have down_s = 1.4.
	diskDown = 1400 * time.Millisecond

	// readBack is how long the operator reads back, and sendAgain how long it sends the last
	// configuration.
	readBack  = 20 * time.Second
	sendAgain = 10 * time.Second
)

// lostDisk: one of three controls is replaced as planned, the new one first. When all of that
// has been over for longer than catch_up_s and contact_ms, the operator changes the
// configuration, and one machine loses its disk. The operator reads back what was acknowledged.
func lostDisk(s *scene) (bool, error) {
	err := s.startService([]*worker{newWorker(s.deployment, 100), newWorker(s.deployment, 101)}, []map[string]any{plainRoute("r-lookup", "/lookup/", "safe", 2)})
	if err != nil {
		return false, err
	}
	traffic := &clients{d: s.deployment, pause: 300 * time.Millisecond, next: func() request { return request{method: http.MethodGet, path: "/lookup/1"} }}
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	go traffic.run(ctx, 2)
	sleep(ctx, contact+margin)

	comes := &process{d: s.deployment, name: "core-4", role: "control", ip: s.ip(13), zone: zoneOf(0)}
	if err := comes.start(); err != nil {
		return false, err
	}
	defer comes.kill()
	sleep(ctx, catchUp+contact)
	goes := s.controls[0]
	goes.signal(syscall.SIGTERM)
	select {
	case <-goes.exited:
	case <-time.After(graceTime):
		goes.kill()
	}
	left := []*process{s.controls[1], s.controls[2], comes} // the operator's list
	sleep(ctx, catchUp+contact)

	newest := 2
	if !s.putConfig(left, newest, recoverTime) {
		return false, fmt.Errorf("version %d was not acknowledged", newest)
	}
	if s.trouble {
		loser := left[0]
		loser.kill()
		if err := os.RemoveAll(filepath.Join(s.folder, loser.name, "data")); err != nil {
			return false, err
		}
		s.rec.add("%s has lost its disk", loser.name)
		sleep(ctx, diskDown)
		if err := loser.start(); err != nil {
			return false, err
		}
	}
	sleep(ctx, recoverTime)
	version, read := s.readConfig(left, readBack)
	acked := s.putConfig(left, newest+1, sendAgain)
	if ctx.Err() != nil {
		return false, fmt.Errorf("the time of the case is over")
	}
	stop()
	s.rec.say("version %d was acknowledged; read back later than %v after all machines are back, for up to %v: version %d (found: %v); the next version was acknowledged within %v: %v",
		newest, recoverTime, readBack, version, read, sendAgain, acked)
	return !read || version < newest, nil
}

// putConfig sends a configuration to one control after the other until one acknowledges it,
// for the given time at most, and reports whether one did.
func (s *scene) putConfig(controls []*process, version int, limit time.Duration) bool {
	body, err := json.Marshal(config(version, []map[string]any{plainRoute("r-lookup", "/lookup/", "safe", 2)}, []map[string]any{}))
	if err != nil {
		return false
	}
	return s.until(limit, func(i int) bool {
		c := controls[i%len(controls)]
		status := call(http.MethodPut, c.at(portControl), "/config", body)
		s.rec.add("operator: PUT /config, version %d, at %s: status %d", version, c.name, status)
		return status == http.StatusOK
	})
}

// readConfig reads the configuration at one control after the other until one answers, for
// the given time at most, and returns its version.
func (s *scene) readConfig(controls []*process, limit time.Duration) (version int, ok bool) {
	ok = s.until(limit, func(i int) bool {
		c := controls[i%len(controls)]
		status, body := fetch(http.MethodGet, c.at(portControl), "/config", nil)
		s.rec.add("operator: GET /config at %s: status %d, %d bytes", c.name, status, len(body))
		var found struct{ Version int }
		if status != http.StatusOK || json.Unmarshal(body, &found) != nil {
			return false
		}
		version = found.Version
		return true
	})
	return version, ok
}
