package soak

import (
	"net/http"
	"testing"
	"time"

	"rosereach/platform"
)

// testServer starts a server and returns a function that sends it a request for an
// instance.
func testServer(t *testing.T) (*server, func(id, instance string) (int, http.Header)) {
	t.Helper()
	s, err := newServer(t.Context(), "s", "127.0.0.1", 1, &arrivals{byID: make(map[string][]arrival)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.http.Close() })
	return s, func(id, instance string) (int, http.Header) {
		t.Helper()
		r, err := platform.NewCallerRequest(s.announcement.Address, "safe", id, "key", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		platform.AddressTo(r, instance)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode, resp.Header
	}
}

// A server that leaves says so in all its answers, and one that turns requests away says
// for how long; the new instance at the address does neither.
func TestServerSaysWhatItWants(t *testing.T) {
	s, ask := testServer(t)
	type words struct {
		status     int
		leaving    string
		retryAfter bool
	}
	said := func(id, instance string) words {
		status, header := ask(id, instance)
		return words{status, header.Get("Server-Leaving"), header.Get("Retry-After") != ""}
	}
	if got := said("a", "s"); got != (words{status: http.StatusOK}) {
		t.Errorf("serving: %+v", got)
	}
	s.leave(false)
	if got := said("b", "s"); got != (words{status: http.StatusOK, leaving: "1"}) || s.announcement.Draining {
		t.Errorf("leaving: %+v, announced: %v", got, s.announcement.Draining)
	}
	s.holdOff(time.Hour)
	if got := said("c", "s"); got != (words{http.StatusServiceUnavailable, "1", true}) || s.arrivals.runs("c") != 0 {
		t.Errorf("leaving and turning away: %+v, %d runs", got, s.arrivals.runs("c"))
	}
	s.holdOff(0)
	s.replace(t.Context(), platform.SimulatedPorts{}, nil)
	if got := said("d", "s"); got.status != http.StatusMisdirectedRequest {
		t.Errorf("request for the old instance: %+v", got)
	}
	if got := said("e", s.id()); got != (words{status: http.StatusOK}) || len(s.arrivals.all()) != 4 {
		t.Errorf("new instance: %+v, %d arrivals", got, len(s.arrivals.all()))
	}
}

// A silent server keeps its connections and answers once it goes on.
func TestSilentServerGoesOn(t *testing.T) {
	s, ask := testServer(t)
	ask("a", "s")
	s.setSilent(true)
	answered := make(chan int, 1)
	go func() {
		status, _ := ask("b", "s")
		answered <- status
	}()
	select {
	case status := <-answered:
		t.Fatalf("status %d from a silent server", status)
	case <-time.After(50 * time.Millisecond):
	}
	s.setSilent(false)
	if status := <-answered; status != http.StatusOK || s.arrivals.runs("b") != 1 {
		t.Errorf("status %d, %d runs", status, s.arrivals.runs("b"))
	}
}
