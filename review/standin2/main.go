// Command standin2 is the operator, the workers and the clients of the scripts of the second
// review. They speak what the users' page PROTOCOL.md says.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes a line with the time to the standard output, which the scripts keep.
var recordMu sync.Mutex

func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// oneSecond is the client of calls to a control: callers move on after a second.
var oneSecond = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call and returns the status, 0 for none, and the body.
func call(method, url string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body)) //nolint:noctx // the client has a timeout
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := oneSecond.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// configOf returns a configuration with a safe and an unsafe route of one service.
func configOf(version int) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": 3000,
			"target_latency_ms": 400, "priority": 2, "service": "wuno96b", "max_attempts": attempts, "public": true,
			"sticky": false, "resumable": false,
		}
	}
	data, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("r-listing", "/listing/", "unsafe", 1), route("r-lookup", "/lookup/", "safe", 2)},
		"services": []any{map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// putConfig sends a configuration, again and again to one control after the other, until it is
// acknowledged, and reports whether it was.
func putConfig(controls []string, version int, until time.Time) bool {
	for i := 0; time.Now().Before(until); i++ {
		control := controls[i%len(controls)]
		status, _ := call(http.MethodPut, "http://"+control+"/config", configOf(version))
		if status == http.StatusOK {
			record("operator: version %d is acknowledged by %s", version, control)
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	record("operator: version %d has no acknowledgement", version)
	return false
}

// readConfig asks each control for the configuration, again and again, until one answers with the
// version or the time is over.
func readConfig(controls []string, version int, until time.Time) bool {
	last := make(map[string]string)
	for i := 0; time.Now().Before(until); i++ {
		control := controls[i%len(controls)]
		status, body := call(http.MethodGet, "http://"+control+"/config", nil)
		var got struct{ Version int }
		text := fmt.Sprintf("status %d", status)
		if status == http.StatusOK && json.Unmarshal(body, &got) == nil {
			text = fmt.Sprintf("version %d", got.Version)
		}
		if text != last[control] {
			record("operator: %s answers the read with %s", control, text)
			last[control] = text
		}
		if got.Version == version {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func exit(code int) {
	os.Exit(code)
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin2 VERB ARGUMENTS")
		exit(2)
	}
	list := func(i int) []string { return strings.Split(os.Args[i], ",") }
	switch verb := os.Args[1]; verb {
	case "put": // CONTROLS VERSION SECONDS
		if !putConfig(list(2), number(3), time.Now().Add(time.Duration(number(4))*time.Second)) {
			exit(1)
		}
	case "read": // CONTROLS VERSION SECONDS
		if !readConfig(list(2), number(3), time.Now().Add(time.Duration(number(4))*time.Second)) {
			record("operator: no control answers with version %s", os.Args[3])
			exit(1)
		}
	case "refused": // CONTROLS ENTRIES NET TROUBLE
		if refused(list(2), list(3), os.Args[4], os.Args[5] != "0") {
			exit(1)
		}
	case "served": // CONTROLS ENTRIES NET SECONDS
		if !served(list(2), list(3), os.Args[4], time.Now().Add(time.Duration(number(5))*time.Second)) {
			exit(1)
		}
	case "worker": // ID ADDRESS CONTROLS
		if _, err := startWorker(os.Args[2], os.Args[3], list(4), answerWithoutLength); err != nil {
			record("worker: %v", err)
			exit(2)
		}
		select {}
	case "whole": // ENTRIES SECONDS
		entries := list(2)
		awaitService(entries)
		if whole(entries, time.Now().Add(time.Duration(number(3))*time.Second)) {
			exit(1)
		}
	default:
		fmt.Fprintln(os.Stderr, "unknown verb "+verb)
		exit(2)
	}
}

func number(i int) int {
	var n int
	if _, err := fmt.Sscan(os.Args[i], &n); err != nil {
		fmt.Fprintln(os.Stderr, err)
		exit(2)
	}
	return n
}
