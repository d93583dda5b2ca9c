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
	// beatInterval is the pause between a server's announcements.
	beatInterval = 400 * time.Millisecond

	// events is the number of events in a complete stream.
	events = 8

	// faultShare is the probability that a faulty server fails a request.
	faultShare = 0.25
)

// server is a fake backend server that counts how often each request ran.
type server struct {
	say    platform.StandInServer
	runs   *runs
	http   *http.Server
	client *http.Client

	mu     sync.Mutex
	faulty bool
	random *rand.Rand
}

// runs counts how often each request ran, summed over all servers.
type runs struct {
	mu    sync.Mutex
	count map[string]int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

func newServer(name, ip string, seed uint64, counter *runs) (*server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &server{
		say:  platform.StandInServer{ID: name, Service: "s", Address: l.Addr().String(), Zone: "z", Born: time.Now().UnixMilli()},
		runs: counter, client: &http.Client{Timeout: time.Second}, random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // deterministic faults for a given seed
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go s.http.Serve(l) //nolint:errcheck // it returns an error on Close
	return s, nil
}

// beat announces the server at each interval until the context is
// cancelled. It starts with another control each time and tries the next one on
// failure.
func (s *server) beat(ctx context.Context, ports platform.StandInPorts, controls []string) {
	for next := 0; ctx.Err() == nil; next++ {
		s.mu.Lock()
		s.say.Sequence++
		announcement := s.say
		s.mu.Unlock()
		for i := range controls {
			r, err := ports.Beat(announcement, controls[(next+i)%len(controls)])
			if err == nil && call(s.client, r.WithContext(ctx)) == http.StatusOK {
				break
			}
		}
		select {
		case <-time.After(beatInterval):
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

// draw picks the fault of the next request: 0 for none, 1 for a refusal
// without a run, 2 for a connection closed before the answer, 3 for an answer
// cut short.
func (s *server) draw() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faulty || s.random.Float64() > faultShare {
		return 0
	}
	return 1 + s.random.IntN(3)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id, after, addressed := platform.ServerRequest(r, s.say.ID)
	if !addressed {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || string(body) != id {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fault := s.draw()
	if fault == 1 {
		platform.MarkAnswer(w.Header(), id, false)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.runs.add(id)
	platform.MarkAnswer(w.Header(), id, true)
	if fault == 2 {
		panic(http.ErrAbortHandler)
	}
	if len(r.URL.Path) < 10 {
		s.answer(w, id, fault)
		return
	}
	stream(r.Context(), w, after, fault)
}

// answer sends the request ID back, or half of it for fault 3.
func (s *server) answer(w http.ResponseWriter, id string, fault int) {
	w.Header().Set("Content-Length", strconv.Itoa(len(id)))
	if fault == 3 {
		io.WriteString(w, id[:len(id)/2]) //nolint:errcheck // the caller may have disconnected
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, id) //nolint:errcheck // see above
}

// stream sends the events that follow event number after. Fault 3 cuts it
// short after three events.
func stream(ctx context.Context, w http.ResponseWriter, after uint64, fault int) {
	for id := after + 1; id <= events; id++ {
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

// call sends a request and returns its status, or 0 when no complete
// response arrived.
func call(c *http.Client, r *http.Request) int {
	status, _ := read(c, r)
	return status
}

// read sends a request and returns the status and body; the status is 0 when no
// complete response arrived.
func read(c *http.Client, r *http.Request) (int, []byte) {
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
