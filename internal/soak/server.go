package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"rosereach/platform"
)

const (
	// announceInterval is the pause between a server's announcements.
	announceInterval = 400 * time.Millisecond

	// streamEvents is the number of events in a complete stream.
	streamEvents = 8

	// faultShare is the probability that a faulty server fails a request.
	faultShare = 0.25
)

// server is a fake backend server that counts how often each request ran.
type server struct {
	announcement platform.SimulatedServer
	runs         *runCounter
	http         *http.Server
	client       *http.Client

	mu     sync.Mutex
	faulty bool
	random *rand.Rand
}

// runCounter counts how often each request ran, summed over all servers.
type runCounter struct {
	mu    sync.Mutex
	count map[string]int
}

func (r *runCounter) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
}

func (r *runCounter) countFor(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

func newServer(name, ip string, seed uint64, counter *runCounter) (*server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &server{
		announcement: platform.SimulatedServer{ID: name, Service: "s", Address: l.Addr().String(), Zone: "z", Incarnation: time.Now().UnixMilli()},
		runs:         counter, client: &http.Client{Timeout: time.Second}, random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // deterministic faults for a given seed
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go s.http.Serve(l) //nolint:errcheck // it returns an error on Close
	return s, nil
}

// announceLoop announces the server at each interval until the context is canceled.
// It starts with another control each time and tries the next one on failure.
func (s *server) announceLoop(ctx context.Context, ports platform.SimulatedPorts, controls []string) {
	for next := 0; ctx.Err() == nil; next++ {
		s.mu.Lock()
		s.announcement.Sequence++
		announcement := s.announcement
		s.mu.Unlock()
		for i := range controls {
			r, err := ports.HeartbeatRequest(announcement, controls[(next+i)%len(controls)])
			if err == nil && sendForStatus(s.client, r.WithContext(ctx)) == http.StatusOK {
				break
			}
		}
		select {
		case <-time.After(announceInterval):
		case <-ctx.Done():
		}
	}
}

// setFaulty turns the injection of request faults on or off.
func (s *server) setFaulty(faulty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = faulty
}

// drawFault picks the fault of the next request: 0 for none, 1 for a refusal
// without a run, 2 for a connection closed before the answer, 3 for an answer
// cut short.
func (s *server) drawFault() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faulty || s.random.Float64() > faultShare {
		return 0
	}
	return 1 + s.random.IntN(3)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id, after, addressed := platform.DecodeServerRequest(r, s.announcement.ID)
	if !addressed {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || string(body) != id {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fault := s.drawFault()
	if fault == 1 {
		platform.SetAnswerHeaders(w.Header(), id, false)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.runs.add(id)
	platform.SetAnswerHeaders(w.Header(), id, true)
	if fault == 2 {
		panic(http.ErrAbortHandler)
	}
	if len(r.URL.Path) < 10 {
		s.writeAnswer(w, id, fault)
		return
	}
	writeStream(r.Context(), w, after, fault)
}

// writeAnswer sends the request ID back, or half of it for fault 3.
func (s *server) writeAnswer(w http.ResponseWriter, id string, fault int) {
	w.Header().Set("Content-Length", strconv.Itoa(len(id)))
	if fault == 3 {
		io.WriteString(w, id[:len(id)/2]) //nolint:errcheck // the caller may have disconnected
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, id) //nolint:errcheck // see above
}

// writeStream sends the events that follow event number after. Fault 3 cuts it
// short after three events.
func writeStream(ctx context.Context, w http.ResponseWriter, after uint64, fault int) {
	for id := after + 1; id <= streamEvents; id++ {
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id) //nolint:errcheck // the caller may have disconnected
		http.NewResponseController(w).Flush()          //nolint:errcheck // the caller may have disconnected
		if fault == 3 && id > after+2 {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// sendForStatus sends a request and returns its status, or 0 when no complete
// response arrived.
func sendForStatus(c *http.Client, r *http.Request) int {
	status, _ := send(c, r)
	return status
}

// send sends a request and returns the status and body; the status is 0 when no
// complete response arrived.
func send(c *http.Client, r *http.Request) (int, []byte) {
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}
