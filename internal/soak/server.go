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
	beatInterval = 400 * time.Millisecond

	// events is how many events a whole stream has.
	events = 8

	// faultShare is the share of requests at a faulty server that go wrong.
	faultShare = 0.25
)

// server is a backend server that keeps count of what it ran.
type server struct {
	say    platform.StandInServer
	runs   *runs
	http   *http.Server
	client *http.Client

	mu     sync.Mutex
	faulty bool
	random *rand.Rand
}

// runs counts, for all servers together, how often each request ran.
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

func newServer(name, ip string, seed uint64, runs *runs) (*server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &server{
		say:  platform.StandInServer{ID: name, Service: "s", Address: l.Addr().String(), Zone: "z", Born: time.Now().UnixMilli()},
		runs: runs, client: &http.Client{Timeout: time.Second}, random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // faults are drawn by it
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go s.http.Serve(l) //nolint:errcheck // it ends with Close
	return s, nil
}

// beat announces the server to one control after the other until the context
// ends.
func (s *server) beat(ctx context.Context, ports platform.StandInPorts, controls []string) {
	for next := 0; ctx.Err() == nil; next++ {
		s.mu.Lock()
		s.say.Sequence++
		say := s.say
		s.mu.Unlock()
		for i := range controls {
			r, err := ports.Beat(say, controls[(next+i)%len(controls)])
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

// setFaulty lets a share of the requests go wrong, or none.
func (s *server) setFaulty(faulty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = faulty
}

// draw returns the fault of the next request: none, not run, a lost answer, or
// a cut one.
func (s *server) draw() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faulty || s.random.Float64() > faultShare {
		return 0
	}
	return 1 + s.random.IntN(3)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id, after, meant := platform.ServerRequest(r, s.say.ID)
	if !meant {
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

// answer sends the id back, or a part of it.
func (s *server) answer(w http.ResponseWriter, id string, fault int) {
	w.Header().Set("Content-Length", strconv.Itoa(len(id)))
	if fault == 3 {
		io.WriteString(w, id[:len(id)/2]) //nolint:errcheck // the caller may have gone
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, id) //nolint:errcheck // see above
}

// stream sends the events behind the last one that the caller has.
func stream(ctx context.Context, w http.ResponseWriter, after uint64, fault int) {
	for id := after + 1; id <= events; id++ {
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id) //nolint:errcheck // the caller may have gone
		http.NewResponseController(w).Flush()          //nolint:errcheck // the caller may have gone
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

// call sends a request and returns the status, 0 when there is none.
func call(c *http.Client, r *http.Request) int {
	status, _ := read(c, r)
	return status
}

// read sends a request and returns status and body; the status is 0 when the
// answer is not whole.
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
