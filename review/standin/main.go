// Command standin plays the cases of the review that are no days of the users' bench. It
// starts the project's own programs with the commands of the deploy file, on loopback
// addresses, with stand-ins for clients, workers and the operator.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// limit ends a case that hangs.
const limit = 110 * time.Second

// scene is one play of a case.
type scene struct {
	*deployment
	ctx     context.Context //nolint:containedctx // it ends with the play
	trouble bool
}

var cases = map[string]func(*scene) (broken bool, err error){
	"additional-bytes":  additionalBytes,
	"foreign-heartbeat": foreignHeartbeat,
	"lost-disk":         lostDisk,
	"unreadable":        unreadableHeartbeat,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer rec.close()
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		rec.say("the case can't run: %v", err)
		return exitFailed
	}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	s := &scene{deployment: d, ctx: ctx, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("trouble: %v", s.trouble)
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		rec.say("the case can't run: %v", err)
		return exitFailed
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// startService starts the system and the workers, and puts a configuration into force that
// sends the routes to their service. It returns when all entries are ready.
func (s *scene) startService(workers []*worker, routes []map[string]any) error {
	if err := s.start(); err != nil {
		return err
	}
	for _, w := range workers {
		if err := w.listen(s.ctx); err != nil {
			return err
		}
		go w.beat(s.ctx)
	}
	return s.awaitService(config(1, routes, []map[string]any{}))
}

// awaitService puts the first configuration into force, and returns when all entries are ready.
func (s *scene) awaitService(first map[string]any) error {
	body, err := json.Marshal(first)
	if err != nil {
		return err
	}
	if !s.until(20*time.Second, func(i int) bool {
		return call(http.MethodPut, s.controls[i%len(s.controls)].at(portControl), "/config", body) == http.StatusOK
	}) {
		return fmt.Errorf("the configuration was not acknowledged")
	}
	s.rec.add("configuration acknowledged")
	for _, e := range s.entries {
		if !s.until(20*time.Second, func(int) bool { return call(http.MethodGet, e.at(portReadiness), "/readyz", nil) == http.StatusOK }) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	s.rec.add("all entries are ready")
	sleep(s.ctx, 2*time.Second)
	return nil
}

// config returns a configuration with the routes, the tenants and one plain service.
func config(version int, routes, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": "svc", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// until calls f, with the number of the call, until it returns true or the time is over.
func (s *scene) until(limit time.Duration, f func(i int) bool) bool {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end) && s.ctx.Err() == nil; i++ {
		if f(i) {
			return true
		}
		sleep(s.ctx, 100*time.Millisecond)
	}
	return false
}

// plainRoute returns a route to the service.
func plainRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": 3000, "target_latency_ms": 400,
		"priority": 2, "service": "svc", "max_attempts": attempts, "public": true,
	}
}
