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
	// answerHeadBytes is nearly all that the head of one answer may have.
	answerHeadBytes = 60 << 10

	faultyServers = 3
	answerCrowd   = 400

	// releaseTimeout is how long connections are kept that nobody uses.
	releaseTimeout = 20 * time.Second
)

// faultyAnswer returns the beginning of an answer with the lines that belong in every answer.
type faultyAnswer func(lines string) string

// Backend servers that send nearly all that the head of one answer may have, and then nothing, do not
// take the memory of an entry, however many requests wait for them.
func TestEntryBoundsHeadsOfAnswers(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\n"
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
	} {
		for _, kind := range strings.Fields(tc.kinds) {
			t.Run(tc.name+" "+kind, func(t *testing.T) { testFaultyServers(t, kind, tc.answer) })
		}
	}
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
