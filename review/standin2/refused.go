package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	filings = 200 // requests of the client

	// The failing worker fails failedOf of perOf requests: 0.4.
	failedOf = 2
	perOf    = 5
)

// refused plays clients that file listings by unsafe requests, at workers of which one fails a part of
// them: it runs the request and answers 503. It reports whether a request that has run was answered
// with a status that promises that it has not.
func refused(controls, entries []string, host string, trouble bool) (broken bool) {
	var workers []*worker
	n := 0
	failing := func(w *worker, out http.ResponseWriter, id string) {
		w.mu.Lock()
		n++
		fails := trouble && n%perOf < failedOf
		w.mu.Unlock()
		if !fails {
			answerWell(w, out, id)
			return
		}
		out.Header().Set(headerStamp, "stamp."+w.id+"."+id)
		out.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(out, "the listing is stored, and the index is not up to date") //nolint:errcheck // the caller may have gone
	}
	for i, answer := range []func(*worker, http.ResponseWriter, string){failing, answerWell, answerWell} {
		w, err := startWorker(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("%s.%d:8066", host, 201+i), controls, answer)
		if err != nil {
			record("worker: %v", err)
			exit(2)
		}
		workers = append(workers, w)
	}
	if !putConfig(controls, 1, time.Now().Add(20*time.Second)) {
		exit(2)
	}
	awaitService(entries)
	for i := range filings {
		broken = file(entries[i%len(entries)], i, workers) || broken
		time.Sleep(20 * time.Millisecond)
	}
	return broken
}

// awaitService waits until each entry has a request answered with success.
func awaitService(entries []string) {
	for _, entry := range entries {
		for i := 0; ; i++ {
			status, _ := send(entry, http.MethodGet, "/lookup/1", fmt.Sprintf("first-%s-%d", entry, i))
			if status == http.StatusOK {
				break
			}
			if i > 300 {
				record("client: %s does not serve", entry)
				exit(2)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	record("client: all entries serve")
}

// send sends one attempt and returns the status, 0 for none or for an answer without its end, and the stamp.
func send(entry, method, path, id string) (status int, stamp string) {
	req, err := http.NewRequest(method, "http://"+entry+path, strings.NewReader("landlord=7")) //nolint:noctx // the client has a timeout
	if err != nil {
		return 0, ""
	}
	req.Host = "ficu95.example"
	req.Header.Set(headerAttempt, id)
	req.Header.Set("X-Rosereach-Deadline-Ms", "6000")
	client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, resp.Header.Get(headerStamp)
}

// file files a listing, and files it again after an answer that promises that the request has not run.
func file(entry string, number int, workers []*worker) (broken bool) {
	total := 0
	for try := range 2 {
		id := fmt.Sprintf("filing-%d-%d", number, try)
		status, stamp := send(entry, http.MethodPost, "/listing/7", id)
		runs := 0
		for _, w := range workers {
			runs += w.runs(id)
		}
		total += runs
		promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
		if status != http.StatusOK || try > 0 {
			record("client: %s at %s is answered %d, stamp %q; it has run %d times, the listing %d times", id, entry, status, stamp, runs, total)
		}
		if promised && runs > 0 {
			broken = true
		}
		if !promised {
			return broken
		}
	}
	return broken
}
