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
