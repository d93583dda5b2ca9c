package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosereach/platform"
)

const (
	// stopLead is the time from the first request to SIGTERM in a test of answers that end at the
	// times of a stop, and endWindow the time before each of these in which they end.
	stopLead  = 3 * time.Second
	endWindow = 10 * time.Millisecond

	// endPause is the time between two events at most. No server counts as silent for that long.
	endPause = 200 * time.Millisecond

	// largeAnswer is the size of an answer that a slow caller's kernel does not take at once.
	largeAnswer = 300 << 10

	// lateRead is how long a caller waits before it reads the rest of an answer, bodyPause the time
	// until the last chunk of a request's body, and behindPause until what follows it.
	lateRead    = 300 * time.Millisecond
	bodyPause   = 100 * time.Millisecond
	behindPause = 50 * time.Millisecond

	lostEnd = `msg="Caller does not get the answer's end."`
)

// stopTimes are the times of a stop, with SimulatedGracePeriod: the close, the end of connections
// without requests, the end of requests without an answer, and the exit.
var stopTimes = []time.Duration{2700 * time.Millisecond, 3300 * time.Millisecond, 6970 * time.Millisecond, 7300 * time.Millisecond}

type (
	// rawCaller sends one request, whose body is in chunks that end late, on a connection of its own.
	rawCaller struct {
		requestOutcome

		behind string // data behind the request
		slow   bool   // it reads little at a time
		late   bool   // it reads nothing for a while
	}
)

// wantedBody returns the body of the whole answer.
func (c *rawCaller) wantedBody() string {
	if c.isStream() {
		return events(0, c.script.eventCount())
	}
	return c.script.answer(c.id)
}

// run sends the request and records its outcome.
func (c *rawCaller) run() error {
	dialer := net.Dialer{}
	if c.slow || c.late {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBufferBytes)
			})
		}
	}
	conn, err := dialer.Dial("tcp", c.entry)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patientTime))
	r, err := platform.NewCallerRequest(c.entry, c.kind, c.id, goodKey, patientTime)
	if err != nil {
		return err
	}
	r.URL.RawQuery = c.script.query()
	r.Body, r.ContentLength = io.NopCloser(&slowBody{rest: []string{"", c.id}, pause: bodyPause}), -1
	c.sentAt = time.Now()
	defer func() { c.endedAt = time.Now() }()
	if err := r.Write(conn); err != nil {
		return err
	}
	c.writtenAt, c.closed = time.Now(), true
	if c.behind != "" {
		time.Sleep(behindPause)
		io.WriteString(conn, c.behind)
	}
	var reader io.Reader = conn
	if c.slow {
		reader = slowConn{conn}
	}
	answer := bufio.NewReader(reader)
	if c.late {
		answer.Peek(1)
		time.Sleep(lateRead)
	}
	resp, err := http.ReadResponse(answer, r)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	c.headAt = time.Now()
	if body, err := io.ReadAll(resp.Body); err == nil {
		c.status, c.body, c.closed = resp.StatusCode, string(body), false
	}
	return nil
}

// Answers that end just before a time of a stop are whole for their callers, or have a line that says
// how they ended: also with slow callers, data behind the request, and little processor. Only the exit
// takes the end of an answer that the entry has finished.
func TestAnswersThatEndAtTheTimesOfAStopAreWhole(t *testing.T) {
	for name, c := range map[string]struct {
		env       []string
		processor float64
	}{
		"processors":          {},
		"one processor":       {env: []string{"GOMAXPROCS=1"}},
		"part of a processor": {env: []string{"GOMAXPROCS=1"}, processor: processorShare},
	} {
		t.Run(name, func(t *testing.T) {
			f := startStopFleet(t, platform.SimulatedGracePeriod, c.env...)
			testAnswersAtTheTimesOfAStop(t, f, c.processor)
		})
	}
}

func testAnswersAtTheTimesOfAStop(t *testing.T, f *stopFleet, processor float64) {
	t.Helper()
	const streams, large = 150, 10 // for each time
	random := rand.New(rand.NewPCG(1, 1))
	stopAt := time.Now().Add(stopLead)
	var callers []*rawCaller
	var all sync.WaitGroup
	for at, stopTime := range stopTimes {
		for i := range streams + large {
			c := &rawCaller{slow: i%3 == 1, late: i%3 == 2}
			c.id, c.kind, c.entry, c.timeLeft = fmt.Sprintf("end-%d-%d", at, i), "streaming", f.address(f.entry), patientTime
			callers = append(callers, c)
			end := stopAt.Add(stopTime - time.Duration(random.Int64N(int64(endWindow))))
			delay := time.Duration(random.Int64N(int64(stopLead / 3)))
			switch i % 4 {
			case 1:
				c.behind = "\r\n"
			case 2:
				c.behind = "POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
			}
			all.Go(func() {
				time.Sleep(delay)
				left := time.Until(end) - bodyPause
				events := left/endPause + 1
				c.script = script{events: uint64(events), pause: left / events}
				if i >= streams {
					c.kind, c.script = "unsafe", script{work: left, size: largeAnswer}
				}
				if err := c.run(); err != nil {
					t.Errorf("%s: %v", c.id, err)
				}
			})
		}
	}
	if processor > 0 {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.entry.limitProcessor(ctx, processor)
	}
	time.Sleep(time.Until(stopAt))
	f.terminate()
	<-f.exited
	all.Wait()
	var outcomes []requestOutcome
	cut, whole := 0, 0
	logged := f.loggedSinceStop()
	for _, c := range callers {
		outcomes = append(outcomes, c.requestOutcome)
		switch {
		case c.status == http.StatusOK && c.body == c.wantedBody():
			whole++
		case !c.closed:
		case endedBadly(logged, c.id):
			cut++
		default:
			t.Errorf("whole for the entry, not for its caller: %s", f.describe(c.requestOutcome))
		}
	}
	for line := range strings.Lines(logged) {
		if strings.Contains(line, lostEnd) && !strings.Contains(line, " phase=exit ") {
			t.Error(line)
		}
	}
	t.Logf("of %d answers, %d are whole, and %d are cut and have a line; the entry has ended %s after SIGTERM", len(callers), whole, cut, f.exitedAt.Sub(f.stoppedAt).Round(time.Millisecond))
	f.checkNoneLost(outcomes)
}

// endedBadly reports whether a log says that a caller did not get a whole answer.
func endedBadly(logged, id string) bool {
	return regexp.MustCompile(`(msg="Request (is (refused|given up|cut) by|fails in) the stop\."|` + lostEnd + `) id=` + id + ` `).MatchString(logged)
}
