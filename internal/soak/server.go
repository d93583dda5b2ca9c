package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"rosereach/internal/fault"
	"rosereach/platform"
)

const (
	// announceInterval is the pause between a server's announcements.
	announceInterval = 400 * time.Millisecond

	// streamEvents is the number of events in a complete stream, and eventPause the time between
	// two of them, where a script does not say otherwise.
	streamEvents = 8
	eventPause   = 20 * time.Millisecond

	// faultShare is the probability that a faulty server fails a request, and
	// sharedFaultShare that one of several servers that fail at once does.
	faultShare, sharedFaultShare = 0.25, 0.45

	// faultKinds is the number of kinds of faults of an answer, and olderFaultKinds of those
	// that the build in production was made for as well.
	faultKinds, olderFaultKinds = 8, 4

	// scriptedBreak is the fault of a server that breaks off as its caller wants.
	scriptedBreak = faultKinds + 1

	// extraAnswerTime is how long a server waits for the next request on a connection to
	// answer it with what belongs to none.
	extraAnswerTime = 300 * time.Millisecond
)

// rejections are the statuses of answers that reject a request which ran, without saying that it did not.
var rejections = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// otherStatuses are the statuses of answers that can't be the rest of a stream.
var otherStatuses = []int{http.StatusNotFound, http.StatusNoContent, http.StatusNotModified, http.StatusGone, http.StatusPartialContent, http.StatusFound, http.StatusBadGateway}

type (
	// server is a fake backend server behind a proxy. It records the requests that
	// reach it.
	server struct {
		name     string
		arrivals *arrivals
		http     *http.Server
		proxy    *fault.Proxy
		client   *http.Client
		kinds    int // of faults

		mu           sync.Mutex
		announcement platform.SimulatedServer
		running      map[string]int // requests to the engine, by ID
		silent       bool
		faulty       bool
		failing      bool // with other servers
		leaving      bool
		heldUntil    time.Time
		limit        float64
		random       *rand.Rand
	}

	// answerPlan is how a server answers one request. Fault is 1 for a refusal
	// without a run, 2 for a connection closed before the answer, 3 for an answer
	// cut short, 4 for a server that is killed: its connection closes cleanly in the
	// head of an answer, or after an event of a stream without a length. 5 is the same
	// in HTTP/1.0, with a reset, 6 an answer of a status that can't be the rest of a
	// stream, 7 a whole answer and another one, of no request, to the request after it, 8 a
	// rejection of a request that ran, unless it is a stream, which gets 6,
	// scriptedBreak a stream that breaks off between two events.
	answerPlan struct {
		fault      int
		leaving    bool
		retryAfter time.Duration
		limit      float64
	}
)

func newServer(ctx context.Context, name, ip string, seed uint64, a *arrivals) (*server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	proxy, err := fault.Start(ctx, l.Addr().String())
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &server{
		name: name, arrivals: a, proxy: proxy, client: &http.Client{Timeout: time.Second}, kinds: faultKinds,
		announcement: platform.SimulatedServer{ID: name, Service: "s", Address: proxy.Address(), Zone: "z", Incarnation: time.Now().UnixMilli(), IsEngine: true},
		running:      make(map[string]int),
		random:       rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // deterministic faults for a given seed
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go s.http.Serve(l) //nolint:errcheck // it returns an error on Close
	return s, nil
}

// announceLoop announces the server at each interval until the context is canceled.
func (s *server) announceLoop(ctx context.Context, ports platform.SimulatedPorts, controls func() []string) {
	for next := 0; ctx.Err() == nil; next++ {
		s.mu.Lock()
		s.announcement.Sequence++
		announcement, silent := s.announcement, s.silent
		s.mu.Unlock()
		if !silent {
			s.callControl(ctx, controls(), next, func(ip string) (*http.Request, error) { return ports.HeartbeatRequest(announcement, ip) })
		}
		select {
		case <-time.After(announceInterval):
		case <-ctx.Done():
		}
	}
}

// callControl sends a request to the controls, beginning with the given one, until
// one accepts it.
func (s *server) callControl(ctx context.Context, controls []string, first int, request func(ip string) (*http.Request, error)) {
	for i := range controls {
		r, err := request(controls[(first+i)%len(controls)])
		if err == nil && sendForStatus(s.client, r.WithContext(ctx)) == http.StatusOK {
			return
		}
	}
}

// setFaulty turns the injection of request faults on or off.
func (s *server) setFaulty(faulty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = faulty
}

// setFailing lets the server fail most of its requests, as others do, or ends that.
func (s *server) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

// setSilent holds back all bytes to and from the server, and its announcements, as if
// its process were paused, or lets them go on.
func (s *server) setSilent(silent bool) {
	s.proxy.SetPlan(fault.Plan{Blackhole: silent})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// holdOff lets the server turn away all requests for the given time.
func (s *server) holdOff(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldUntil = time.Now().Add(d)
}

// nameLimit lets the server name a limit in all its answers, 0 for none.
func (s *server) nameLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

// leave lets the server say in all its answers that it leaves, and also in its
// announcements if announced is true.
func (s *server) leave(announced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.announcement.Draining = true, announced
}

// replace withdraws the server and starts a new instance at the same address.
func (s *server) replace(ctx context.Context, ports platform.SimulatedPorts, controls []string) {
	s.mu.Lock()
	old := s.announcement
	s.leaving, s.announcement.Draining = false, false
	s.announcement.Incarnation = time.Now().UnixMilli()
	s.announcement.ID = fmt.Sprintf("%s-%d", s.name, s.announcement.Incarnation)
	s.mu.Unlock()
	s.callControl(ctx, controls, 0, func(ip string) (*http.Request, error) { return ports.WithdrawRequest(old, ip) })
}

// plan decides how the server answers the next request.
func (s *server) plan() answerPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := answerPlan{leaving: s.leaving, limit: s.limit}
	if left := time.Until(s.heldUntil); left >= time.Millisecond {
		plan.fault, plan.retryAfter = 1, left
	} else if x := s.random.Float64(); s.faulty && x <= faultShare || s.failing && x <= sharedFaultShare {
		plan.fault = 1 + s.random.IntN(s.kinds)
	}
	return plan
}

// draw returns a random number below n.
func (s *server) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// id returns the ID of the current instance.
func (s *server) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement.ID
}

// run records that the engine runs a request, until the returned function is called.
func (s *server) run(id string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id]++
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.running[id]--; s.running[id] == 0 {
			delete(s.running, id)
		}
	})
}

// status answers a request for the status of the engine.
func (s *server) status(w http.ResponseWriter) {
	s.mu.Lock()
	running := slices.Sorted(maps.Keys(s.running))
	s.mu.Unlock()
	platform.WriteSimulatedStatus(w, running)
}

// confidence returns what a model thinks of its answer in a run, by chance if the script does not
// tell.
func (s *server) confidence(wanted script, run uint64) int {
	switch {
	case wanted.unsure == run:
		return 1
	case wanted.unsure > 0:
		return 100
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + s.random.IntN(100)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if platform.IsStatusRequest(r) {
		s.status(w)
		return
	}
	self := s.id()
	id, after, addressed := platform.DecodeServerRequest(r, self)
	if !addressed {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || string(body) != id {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	isStream := len(r.URL.Path) >= 10
	plan, wanted := s.plan(), decodeScript(r.URL.Query())
	run := uint64(len(s.arrivals.of(id))) + 1
	switch {
	case plan.fault != 0:
	case run == wanted.refused:
		plan.fault = 1
	case run <= wanted.failing:
		plan.fault = 2
	case wanted.breaksOff && isStream && after == 0:
		plan.fault = scriptedBreak
	}
	endRun, recordEnd := s.run(id), s.arrivals.begin(arrival{requestID: id, server: self, at: time.Now(), answerPlan: plan})
	endWork := func() { endRun(); recordEnd() }
	defer endWork()
	answer := platform.SimulatedAnswer{RequestID: id, Server: self, Executed: plan.fault != 1, Leaving: plan.leaving, RetryAfter: plan.retryAfter, Limit: plan.limit}
	if isEngineRequest(r) {
		answer.Confidence = s.confidence(wanted, run)
	}
	answer.SetHeaders(w.Header())
	if plan.fault == 0 {
		sleep(r.Context(), wanted.work)
	}
	switch {
	case plan.fault == 0 && wanted.lost && !isStream:
		endWork()
		<-r.Context().Done()
	case plan.fault == 1:
		w.WriteHeader(http.StatusServiceUnavailable)
	case plan.fault == 2:
		panic(http.ErrAbortHandler)
	case plan.fault == 4 || plan.fault == 5:
		writeKilled(w, isStream, after, plan.fault == 5)
	case plan.fault == 8 && !isStream:
		w.WriteHeader(rejections[s.draw(len(rejections))])
	case plan.fault == 6 || plan.fault == 8:
		w.WriteHeader(otherStatuses[int(after)%len(otherStatuses)])
	case plan.fault == 7:
		body := wanted.answer(id)
		if isStream {
			body = events(after, wanted.eventCount())
		}
		answer.RequestID = ""
		writeTwice(w, body, answer)
	case !isStream:
		s.writeAnswer(w, wanted.answer(id), plan.fault)
	case plan.fault == 0 && wanted.ending != "":
		writeEnding(r.Context(), w, after, wanted, run, endWork)
	default:
		writeStream(r.Context(), w, after, wanted, plan.fault, endWork)
	}
}

// writeEnding sends the events of a stream with an ending that follow event number after, in the
// given run of its request. It calls endWork before it falls silent.
func writeEnding(ctx context.Context, w http.ResponseWriter, after uint64, wanted script, run uint64, endWork func()) {
	if wanted.ending == deserted && run > 2 {
		endWork()
		<-ctx.Done()
		return
	}
	body, flush := io.Writer(w), func() { http.NewResponseController(w).Flush() } //nolint:errcheck // the caller may have disconnected
	if wanted.ending == unframed || wanted.ending != jumping && run == 1 {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()                                  //nolint:errcheck // the connection is not used again
		fmt.Fprint(buffered, "HTTP/1.1 200 OK\r\n")         //nolint:errcheck // the caller may have disconnected
		w.Header().Write(buffered)                          //nolint:errcheck // see above
		buffered.WriteString("\r\n")                        //nolint:errcheck // see above
		body, flush = buffered, func() { buffered.Flush() } //nolint:errcheck // see above
	}
	for event := range strings.SplitAfterSeq(wanted.stream(), "\n\n") {
		var id uint64
		if n, _ := fmt.Sscanf(event, "id: %d", &id); n == 0 || id <= after { //nolint:errcheck // the last piece is empty
			continue
		}
		io.WriteString(body, event) //nolint:errcheck // see above
		flush()
		sleep(ctx, cmp.Or(wanted.pause, eventPause))
	}
	if wanted.ending == spoilt && run == 1 {
		io.WriteString(body, "\x00\xf1 wrong bytes") //nolint:errcheck // see above
	}
	flush()
}

// isEngineRequest reports whether a request is on the route of engines.
func isEngineRequest(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, "/"+platform.SimulatedEngineKind+"/")
}

// writeAnswer sends an answer, or half of it for fault 3.
func (s *server) writeAnswer(w http.ResponseWriter, answer string, fault int) {
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if fault == 3 {
		io.WriteString(w, answer[:len(answer)/2]) //nolint:errcheck // the caller may have disconnected
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, answer) //nolint:errcheck // see above
}

// writeKilled ends as if the process were killed: in the head of an answer, or after some
// events of a stream of which only the connection marks the end. With reset, it answers in
// HTTP/1.0 and resets the connection.
func writeKilled(w http.ResponseWriter, isStream bool, after uint64, reset bool) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close() //nolint:errcheck // the connection is not used again
	var head bytes.Buffer
	version := "1.1"
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		version = "1.0"
		tcp.SetLinger(0) //nolint:errcheck // the caller may have disconnected
	}
	fmt.Fprintf(&head, "HTTP/%s 200 OK\r\nContent-Type: text/event-stream\r\n", version)
	w.Header().Write(&head) //nolint:errcheck // a buffer takes all bytes
	if isStream {
		head.WriteString("\r\n" + events(after, min(after+3, streamEvents)))
	}
	buffered.Write(head.Bytes()) //nolint:errcheck // the caller may have disconnected
	buffered.Flush()             //nolint:errcheck // see above
	if reset {
		time.Sleep(20 * time.Millisecond) // a reset may overtake bytes that are not read yet
	}
}

// writeTwice sends a whole answer, and the same bytes with the headers of another one when the
// next request arrives on the connection.
func writeTwice(w http.ResponseWriter, body string, extra platform.SimulatedAnswer) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close() //nolint:errcheck // the connection is not used again
	extraHeader := make(http.Header)
	extra.SetHeaders(extraHeader)
	for _, h := range []http.Header{w.Header(), extraHeader} {
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body)) //nolint:errcheck // the caller may have disconnected
		h.Write(buffered)                                                             //nolint:errcheck // see above
		fmt.Fprintf(buffered, "\r\n%s", body)                                         //nolint:errcheck // see above
		buffered.Flush()                                                              //nolint:errcheck // see above
		conn.SetReadDeadline(time.Now().Add(extraAnswerTime))                         //nolint:errcheck // see above
		if _, err := buffered.Peek(1); err != nil {
			return
		}
	}
}

// events returns the events of a stream that follow one, up to another.
func events(after, last uint64) string {
	var text strings.Builder
	for id := after + 1; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", id, id)
	}
	return text.String()
}

// writeStream sends the events that follow event number after. Fault 3 cuts it
// short in the event after the third. A stream that the script loses or breaks off ends after its
// first events, unless it goes on after others; endWork is called before the former's silence.
func writeStream(ctx context.Context, w http.ResponseWriter, after uint64, wanted script, fault int, endWork func()) {
	last, first := wanted.eventCount(), cmp.Or(wanted.first, firstEvents)
	for id := after + 1; id <= last; id++ {
		io.WriteString(w, events(id-1, id))   //nolint:errcheck // the caller may have disconnected
		http.NewResponseController(w).Flush() //nolint:errcheck // the caller may have disconnected
		if fault == 3 && id > after+2 {
			if id < last {
				fmt.Fprintf(w, "id: %d\nda", id+1)    //nolint:errcheck // the caller may have disconnected
				http.NewResponseController(w).Flush() //nolint:errcheck // see above
			}
			panic(http.ErrAbortHandler)
		}
		if after == 0 && id == first && wanted.lost {
			endWork()
			<-ctx.Done()
			return
		}
		if id == first && fault == scriptedBreak {
			panic(http.ErrAbortHandler)
		}
		sleep(ctx, cmp.Or(wanted.pause, eventPause))
		if ctx.Err() != nil {
			return
		}
	}
}
