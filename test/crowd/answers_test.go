//go:build crowd

package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rosereach/platform"
)

const (
	// answerHeadBytes is nearly all that the head of one answer may have, and answerEventBytes
	// that one event of a stream may have.
	answerHeadBytes  = 60 << 10
	answerEventBytes = 1000 << 10

	faultyServers = 3
	answerCrowd   = 600

	// releaseTimeout is how long connections are kept that nobody uses.
	releaseTimeout = 20 * time.Second
)

// faultyAnswer returns the beginning of an answer with the lines that belong in every answer.
type faultyAnswer func(lines string) string

// Backend servers that send nearly all that one answer may have, and then nothing, do not take the
// memory of an entry, however many requests wait for them.
func TestEntryBoundsAnswers(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\n"
	body := func(head string, length int, start string) faultyAnswer {
		return func(lines string) string {
			return fmt.Sprintf("%s%s%sContent-Length: %d\r\n\r\n%s", first, lines, head, length, start)
		}
	}
	for _, tc := range []struct {
		name   string
		kinds  string
		answer faultyAnswer
	}{
		{"head in short lines", "unsafe streaming", func(string) string { return first + headLines(answerHeadBytes, 0) }},
		{"head in lines", "unsafe streaming", func(string) string { return first + headLines(answerHeadBytes, 240) }},
		{"head in one line", "unsafe streaming", func(string) string { return first + "A: " + strings.Repeat("x", answerHeadBytes) }},
		{"interim answers", "unsafe streaming", func(string) string {
			return strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+headLines(4<<10, 0)+"\r\n", answerHeadBytes>>12)
		}},
		{"head and body", "unsafe", body(headLines(answerHeadBytes, 240), 100_000, strings.Repeat("x", 60_000))},
		{"large body", "unsafe", body("", largeAnswer, strings.Repeat("x", largeAnswer-1))},
		{"event", "streaming", body("", 2*answerEventBytes, "id: 1\ndata: "+strings.Repeat("x", answerEventBytes))},
		{"event in a second one", "streaming", body("", 2*answerEventBytes, "id: 1\ndata: x\n\nid: 2\ndata: "+strings.Repeat("x", answerEventBytes))},
	} {
		for _, kind := range strings.Fields(tc.kinds) {
			t.Run(tc.name+" "+kind, func(t *testing.T) { testFaultyServers(t, kind, tc.answer) })
		}
	}
}

// Events of legal size that their callers do not read do not take the memory of an entry.
func TestEntryBoundsUnreadEvents(t *testing.T) {
	event := "data: " + strings.Repeat("x", 200<<10) + "\n\n"
	testFaultyServers(t, "streaming", func(lines string) string {
		return "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 100000000\r\n\r\n" + strings.Repeat(event, 64)
	})
}

// testFaultyServers lets a crowd of callers ask for answers of faulty servers, and read none.
func testFaultyServers(t *testing.T, kind string, answer faultyAnswer) {
	t.Helper()
	f := startFleetWith(t, manyOpenFiles, map[string]string{"safe": soundService, "unsafe": faultyService, "streaming": faultyService})
	for i := range faultyServers {
		f.serveFaulty(fmt.Sprintf("faulty-%d", i+1), answer)
	}
	time.Sleep(time.Second) // the entry knows them by then
	before := f.entry.openConnections()
	head := callerHead("/"+kind+"/x") + "\r\n"
	f.survive(&crowd{clients: answerCrowd, address: f.entry.address(f.ports.Callers), message: func(c net.Conn, _ func() bool) {
		c.(timedConn).Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		io.WriteString(c, head)
		time.Sleep(writeTimeout) // the answers have stopped by then
	}})
	for end := time.Now().Add(releaseTimeout); f.entry.openConnections() > before; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, %d were before the crowd", f.entry.openConnections(), before)
		}
	}
}

// headLines returns lines of a head, of the given size and number of bytes in each value.
func headLines(size, value int) string {
	var b strings.Builder
	for i := 0; b.Len() < size-value-16; i++ {
		fmt.Fprintf(&b, "X%d:%s\r\n", i, strings.Repeat("x", value))
	}
	return b.String()
}

// serveFaulty starts and announces a backend server that begins every answer and never ends it.
func (f *fleet) serveFaulty(id string, answer faultyAnswer) {
	l, err := net.Listen("tcp", net.JoinHostPort(serverIP, "0"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				requestID, _, _ := platform.DecodeServerRequest(r, id)
				h := make(http.Header)
				platform.SimulatedAnswer{RequestID: requestID, Server: id, Executed: true}.SetHeaders(h)
				var lines strings.Builder
				h.Write(&lines)
				io.WriteString(c, answer(lines.String()))
				io.Copy(io.Discard, in)
			}()
		}
	}()
	f.announce(id, faultyService, l.Addr().String())
}

// An answer that is as large as one may be is passed on.
func TestEntryTakesLargeAnswers(t *testing.T) {
	for kind, body := range map[string]string{
		"unsafe":    strings.Repeat("x", largeAnswer),
		"streaming": "id: 1\ndata: " + strings.Repeat("x", answerEventBytes) + "\n\n",
	} {
		t.Run(kind, func(t *testing.T) {
			f := startFleetWith(t, manyOpenFiles, map[string]string{"safe": soundService, kind: faultyService})
			f.serveFaulty("large", func(lines string) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%sContent-Length: %d\r\n\r\n%s", lines, headLines(answerHeadBytes, 240), len(body), body)
			})
			time.Sleep(time.Second) // the entry knows it by then
			r, err := platform.NewCallerRequest(f.entry.address(f.ports.Callers), kind, "large-answer", callerKey, callerTimeout)
			if err != nil {
				t.Fatal(err)
			}
			client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			if err != nil || string(got) != body || resp.Header.Get("X1") == "" {
				t.Errorf("status %d, %d of %d bytes, %d header fields: %v", resp.StatusCode, len(got), len(body), len(resp.Header), err)
			}
		})
	}
}
