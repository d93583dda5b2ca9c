package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"rosereach/io/detour"
	"rosereach/platform"
)

// Requests whose servers are silent, or have lost the answer, are answered before the process
// ends, not reset.
func TestRequestsWithoutHeadAreAnsweredAtTheExit(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	callers := f.connect(80)
	silent, lost := script{work: patientTime}, script{work: time.Second, lost: true}
	before := func(kind string, wanted script) func(*stopCaller) {
		return func(c *stopCaller) { c.send(kind, wanted, patientTime, nil) }
	}
	f.after(0, callers[:20], before("unsafe", silent))
	f.after(0, callers[20:40], before("unsafe", lost))
	f.after(0, callers[40:60], before("streaming", silent))
	f.awaitArrivals(len(callers) + 60)
	f.terminate()
	f.after(2*time.Second, callers[60:], before("unsafe", silent))
	outcomes := f.awaitEnd()
	f.checkAnswered(outcomes)
	f.checkNoneLost(outcomes)
}

// A request whose body is still on its way is answered before the process ends.
func TestUnfinishedBodiesAreAnsweredAtTheExit(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	callers := f.connect(40)
	f.after(0, callers[:20], func(c *stopCaller) {
		c.send("unsafe", script{}, patientTime, &slowBody{rest: []string{"part", ""}, pause: f.grace + 2*time.Second})
	})
	time.Sleep(200 * time.Millisecond)
	f.terminate()
	f.after(time.Second, callers[20:], func(c *stopCaller) {
		c.send("unsafe", script{}, patientTime, &slowBody{rest: []string{"part", ""}, pause: 4 * time.Second})
	})
	outcomes := f.awaitEnd()
	f.checkAnswered(outcomes)
	f.checkNoneLost(outcomes)
}

// Every request that the exit cuts has a line in the log that names it.
func TestEveryRequestCutByTheStopIsLogged(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	callers := f.connect(400)
	f.after(0, callers, func(c *stopCaller) { c.send("streaming", endless, patientTime, nil) })
	f.awaitArrivals(2 * len(callers))
	f.terminate()
	outcomes := f.awaitEnd()
	f.checkNoneLost(outcomes)
	logged, cut, missing := f.loggedSinceStop(), 0, 0
	for _, o := range outcomes {
		if !o.closed {
			continue
		}
		cut++
		if !strings.Contains(logged, "id="+o.id+" ") {
			missing++
		}
	}
	if cut == 0 || missing > 0 {
		t.Errorf("%d of %d requests that were cut have no line in the log", missing, cut)
	}
}

// Requests that are sent more than 3 s after SIGTERM are not passed on and cut, although a busy
// entry handles the signal, and its timers, late.
func TestRequestsSentAfterTheCloseAreNotCut(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod, "GOMAXPROCS=1")
	callers, busy := f.connect(300), f.connect(150)
	f.after(0, busy, func(c *stopCaller) {
		for c.send("safe", script{}, patientTime, nil).status == http.StatusOK {
			continue
		}
	})
	time.Sleep(time.Second)
	f.terminate()
	for i := range callers {
		at := 2900*time.Millisecond + time.Duration(i)*time.Millisecond
		f.after(at, callers[i:i+1], func(c *stopCaller) {
			c.send("streaming", script{events: 60, pause: 100 * time.Millisecond}, patientTime, nil)
		})
	}
	f.checkNoneLost(f.awaitEnd())
}

// Callers use the addresses of a list for up to three times its life, on open connections and on new
// ones. All get an answer until then, also after the entry has closed.
func TestCallersWithOldListsAreAnswered(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	callers := f.connect(60)
	for range 60 {
		callers = append(callers, f.newCaller(len(callers)))
	}
	f.terminate()
	for i := range callers {
		at := 2400*time.Millisecond + time.Duration(i%60)*10*time.Millisecond
		f.after(at, callers[i:i+1], func(c *stopCaller) { c.send("unsafe", script{}, patientTime, nil) })
	}
	outcomes, listsEnd := f.awaitEnd(), f.stoppedAt.Add(3*time.Second)
	f.checkNoneLost(outcomes)
	// A caller without a processor may send what it has begun after the lists' end.
	f.checkAnswered(slices.DeleteFunc(outcomes, func(o requestOutcome) bool {
		return o.endedAt.After(listsEnd) && (o.writtenAt.IsZero() || o.writtenAt.After(listsEnd))
	}))
}

// With a short grace time, requests that run are not cut before its last sixth.
func TestRequestsAreNotCutBeforeTheLastSixthOfAShortGraceTime(t *testing.T) {
	f := startStopFleet(t, shortGracePeriod)
	callers := f.connect(60)
	f.after(0, callers[:30], func(c *stopCaller) { c.send("streaming", endless, patientTime, nil) })
	f.awaitArrivals(len(callers) + 30)
	f.terminate()
	f.after(time.Second, callers[30:], func(c *stopCaller) {
		c.send("streaming", script{events: 20, pause: 100 * time.Millisecond}, patientTime, nil)
	})
	f.checkNoneLost(f.awaitEnd())
}

// A stream whose server falls silent shortly before the exit goes on at another one in time.
func TestStreamsSilentShortlyBeforeTheExitGoOn(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	callers := f.connect(40)
	wanted := script{events: 66, pause: 100 * time.Millisecond, lost: true, first: 65}
	f.after(0, callers, func(c *stopCaller) { c.send("streaming", wanted, patientTime, nil) })
	f.awaitArrivals(2 * len(callers))
	f.terminate()
	f.checkNoneLost(f.awaitEnd())
}

// An answer that its server has sent is whole, although its caller takes it slowly.
func TestAnswersTakenSlowlyAreWholeAfterTheStop(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	const size = 1000 << 10
	callers := make([]net.Conn, 20)
	for i := range callers {
		dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		}}
		conn, err := dialer.DialContext(t.Context(), "tcp", f.address(f.entry))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		callers[i] = conn
		r, err := platform.NewCallerRequest(f.address(f.entry), "unsafe", fmt.Sprintf("slow-%d", i), goodKey, patientTime)
		if err != nil {
			t.Fatal(err)
		}
		r.URL.RawQuery = script{size: size}.query()
		if err := r.Write(conn); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitArrivals(1 + len(callers))
	f.terminate()
	f.awaitEnd()
	cut := 0
	for i, conn := range callers {
		conn.SetDeadline(time.Now().Add(startTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("caller %d: %v", i, err)
			continue
		}
		n, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || n != size {
			if cut++; cut <= 3 {
				t.Errorf("caller %d got %d of %d bytes: %v", i, n, size, err)
			}
		}
	}
	if cut > 0 {
		t.Errorf("%d of %d answers that their servers had sent are cut", cut, len(callers))
	}
}

// A request of another entry that reaches its server through the stopping one ends, although no
// caller of its own keeps that one running.
func TestDetoursThroughAStoppingEntryEnd(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	srv := f.servers[0]
	relay := net.JoinHostPort(f.entry.node.IP, strconv.Itoa(f.ports.LastInternal))
	var conn net.Conn
	for deadline := time.Now().Add(startTimeout); conn == nil; time.Sleep(50 * time.Millisecond) {
		var err error
		conn, err = detour.Dial(t.Context(), relay, "soak", detour.Target{Server: srv.name, Incarnation: uint64(srv.announcement.Incarnation)})
		if err != nil && time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	defer conn.Close()
	wanted := script{events: 50, pause: 100 * time.Millisecond}
	r, err := platform.NewCallerRequest(srv.announcement.Address, "streaming", "detour", goodKey, patientTime)
	if err != nil {
		t.Fatal(err)
	}
	r.URL.RawQuery = wanted.query()
	platform.AddressTo(r, srv.name)
	if err := r.Write(conn); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(startTimeout); f.arrivals.runs("detour") == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the request has not reached its server")
		}
	}
	f.terminate()
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil || body.String() != events(0, wanted.events) {
		t.Errorf("cut %s after SIGTERM, after %d of %d events: %v", time.Since(f.stoppedAt).Round(time.Millisecond), strings.Count(body.String(), "id:"), wanted.events, err)
	}
	f.awaitEnd()
}

// The process ends by itself in its grace time, with requests that outlast it, a second SIGTERM
// and SIGHUP, and without a control.
func TestStoppedEntryEndsWithinItsGraceTime(t *testing.T) {
	for name, c := range map[string]struct {
		grace          time.Duration
		withoutControl bool
	}{
		"usual":           {grace: platform.SimulatedGracePeriod},
		"short":           {grace: shortGracePeriod},
		"without control": {grace: platform.SimulatedGracePeriod, withoutControl: true},
	} {
		t.Run(name, func(t *testing.T) { testEndWithinGraceTime(t, c.grace, c.withoutControl) })
	}
}

// The process ends by itself in a grace time in which its callers still hold old lists of entries.
func TestStoppedEntryEndsWithinAGraceTimeShorterThanAddressLists(t *testing.T) {
	testEndWithinGraceTime(t, 3*time.Second, false)
}

func testEndWithinGraceTime(t *testing.T, grace time.Duration, withoutControl bool) {
	f := startStopFleet(t, grace)
	callers := f.connect(60)
	f.after(0, callers[:30], func(c *stopCaller) { c.send("streaming", endless, patientTime, nil) })
	f.after(0, callers[30:], func(c *stopCaller) { c.send("unsafe", script{work: patientTime}, patientTime, nil) })
	f.awaitArrivals(2 * len(callers))
	if withoutControl {
		f.control.kill()
	}
	f.terminate()
	time.Sleep(time.Second)
	f.entry.signal(syscall.SIGHUP)
	time.Sleep(time.Second)
	f.entry.signal(syscall.SIGTERM)
	f.awaitEnd()
	if took := f.exitedAt.Sub(f.stoppedAt); took >= grace {
		t.Errorf("the process ended %s after SIGTERM", took)
	}
}

// Under load of all kinds, on connections that callers keep until the process is gone, a planned
// stop loses no request, and answers all that have no answer yet.
func TestPlannedStopUnderLoadLosesNoRequest(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	kinds := []func(*stopCaller){
		func(c *stopCaller) { c.send("safe", script{}, patientTime, nil) },
		func(c *stopCaller) { c.send("unsafe", script{work: 300 * time.Millisecond}, patientTime, nil) },
		func(c *stopCaller) { c.send("streaming", script{}, patientTime, nil) },
		func(c *stopCaller) {
			c.send("streaming", script{events: 60, pause: 100 * time.Millisecond}, patientTime, nil)
		},
		func(c *stopCaller) { c.send("streaming", script{events: 20, breaksOff: true}, patientTime, nil) },
		func(c *stopCaller) { c.send("streaming", script{events: 20, lost: true}, patientTime, nil) },
		func(c *stopCaller) {
			c.send("unsafe", script{}, patientTime, &slowBody{rest: []string{""}, pause: 500 * time.Millisecond})
		},
		func(c *stopCaller) { c.send("unsafe", script{work: 3 * time.Second}, patientTime, nil) },
	}
	callers := f.connect(80)
	loadEnd := make(chan struct{})
	for i, c := range callers {
		f.callers.Go(func() {
			for n := i; ; n++ {
				select {
				case <-loadEnd:
					return
				default:
				}
				kinds[n%len(kinds)](c)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	f.terminate()
	time.Sleep(time.Second)
	f.entry.signal(syscall.SIGHUP)
	time.Sleep(time.Second)
	f.entry.signal(syscall.SIGTERM)
	<-f.exited
	close(loadEnd)
	outcomes := f.awaitEnd()
	f.checkNoneLost(outcomes)
	f.checkAnswered(slices.DeleteFunc(outcomes, func(o requestOutcome) bool { return len(f.arrivals.of(o.id)) == 0 }))
}

// The process ends by itself in its grace time although callers connect anew at once after each
// answer: beside other work on one processor, with a part of one, in a stop that overlaps another,
// and with signals that repeat.
func TestStoppedEntryEndsBesideCallersWhoConnectAnew(t *testing.T) {
	for name, c := range map[string]struct {
		grace         time.Duration
		processor     float64 // its share, 0 for whole ones
		overlaps, hup bool
	}{
		"alone":   {grace: platform.SimulatedGracePeriod},
		"signals": {grace: platform.SimulatedGracePeriod, hup: true},
		"part":    {grace: platform.SimulatedGracePeriod, processor: processorShare, hup: true},
		"short":   {grace: shortGracePeriod, processor: processorShare},
		"overlap": {grace: platform.SimulatedGracePeriod, overlaps: true},
		"all":     {grace: platform.SimulatedGracePeriod, processor: processorShare, overlaps: true, hup: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := startStopFleet(t, c.grace, "GOMAXPROCS=1")
			callers := f.connect(40)
			f.after(0, callers, func(c *stopCaller) { c.send("streaming", endless, patientTime, nil) })
			f.awaitArrivals(2 * len(callers))
			f.insist(f.entry, 150)
			time.Sleep(time.Second)
			if c.processor > 0 {
				go f.entry.limitProcessor(t.Context(), c.processor)
			}
			if c.overlaps {
				f.insist(f.other, 50)
				f.other.disrupt(planned)
				wait := f.other.terminate()
				defer func() {
					if wait() {
						t.Error("the other entry was killed")
					}
				}()
				time.Sleep(time.Second)
			}
			f.terminate()
			if c.hup {
				time.Sleep(time.Second)
				f.entry.signal(syscall.SIGHUP)
				f.entry.signal(syscall.SIGTERM)
			}
			f.checkNoneLost(f.awaitEnd())
		})
	}
}
