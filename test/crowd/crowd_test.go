//go:build crowd

package crowd

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	// writeTimeout ends the attempt to send more to a process that reads no further.
	writeTimeout = 3 * time.Second

	pieceBytes = 64 << 10

	// largeBody is a body of legal size. A body in chunks of one byte takes six times its size
	// on the wire.
	largeBody = maxBodyBytes
	tinyBody  = 1 << 20
	smallBody = 30 << 10

	// largeAnswer is an answer of legal size.
	largeAnswer = 1 << 20

	largeCrowd = 40
	tinyCrowd  = 120
	headCrowd  = 200
	smallCrowd = 600

	// reconnects is how often a client comes again that was cut off.
	reconnects = 4
)

// The ways to mark the length of a body.
const (
	byLength framing = iota
	byLargeChunks
	byTinyChunks
)

// The ways to send a request.
const (
	whole   pace = iota
	piece        // all clients take turns
	unended      // all but the end
)

type (
	framing int
	pace    int

	// crowd is a number of clients that open connections to one port, send a message, and keep
	// the connections open.
	crowd struct {
		clients int
		message message
		// address is the port under attack.
		address string
		// again lets a client whose connection was closed come again.
		again bool

		conns []net.Conn
	}

	// message writes what a client sends. Next is called between its pieces, and returns false
	// when the client should stop.
	message func(c net.Conn, next func() bool)
)

// A crowd that sends bodies of legal size, whole, piece by piece or short of their end, does not
// take the memory of an entry.
func TestEntryBoundsBodies(t *testing.T) {
	for _, f := range []struct {
		name    string
		framing framing
		size    int
		clients int
	}{
		{"length", byLength, largeBody, largeCrowd},
		{"large chunks", byLargeChunks, largeBody, largeCrowd},
		{"tiny chunks", byTinyChunks, tinyBody, tinyCrowd},
	} {
		for _, p := range []struct {
			name string
			pace pace
		}{{"whole", whole}, {"piece by piece", piece}, {"short of the end", unended}} {
			t.Run(f.name+" "+p.name, func(t *testing.T) {
				testEntry(t, crowd{clients: f.clients, message: bodyMessage(callerHead("/unsafe/x"), f.framing, p.pace, f.size)})
			})
		}
	}
}

// A crowd without a key, on a path without a route, does not take the memory of an entry.
func TestEntryBoundsBodiesWithoutRoute(t *testing.T) {
	head := "POST /none/x HTTP/1.1\r\nHost: h\r\nX-Rosereach-Attempt-Id: none\r\n"
	testEntry(t, crowd{clients: largeCrowd, message: bodyMessage(head, byLength, unended, largeBody)})
}

// Heads over the limit or without an end, or empty lines before a request, do not take the memory
// of a process, at none of its ports.
func TestHeadsAreBounded(t *testing.T) {
	heads := []struct {
		name    string
		message message
	}{
		{"over the limit", overLimitHead},
		{"one line without end", endlessLine},
		{"lines without end", endlessLines},
		{"empty lines first", emptyLines},
	}
	for _, port := range []struct {
		name string
		of   func(f *fleet) string
	}{
		{"callers", func(f *fleet) string { return f.entry.address(f.ports.Callers) }},
		{"readiness", func(f *fleet) string { return f.entry.address(f.ports.Readiness) }},
		{"entry metrics", func(f *fleet) string { return f.entry.address(f.entry.metricsPort) }},
		{"detours", func(f *fleet) string { return f.entry.address(f.ports.LastInternal) }},
		{"control", func(f *fleet) string { return f.control.address(f.ports.Control) }},
		{"directory", func(f *fleet) string { return f.control.address(f.ports.Directory) }},
		{"members", func(f *fleet) string { return f.control.address(f.ports.Internal) }},
		{"control metrics", func(f *fleet) string { return f.control.address(f.control.metricsPort) }},
	} {
		for _, h := range heads {
			t.Run(port.name+" "+h.name, func(t *testing.T) {
				f := startFleet(t)
				f.survive(&crowd{clients: headCrowd, message: h.message, address: port.of(f)})
			})
		}
	}
}

// Configurations and announcements that stop short of their end do not take the memory of a
// control.
func TestControlBoundsBodies(t *testing.T) {
	for _, tc := range []struct {
		name, head string
		clients    int
		size       int
	}{
		{"configurations", "PUT /config HTTP/1.1\r\nHost: h\r\n", 12, 16 << 20},
		{"announcements", "PUT /instances/x HTTP/1.1\r\nHost: h\r\n", smallCrowd, smallBody},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startFleet(t)
			f.survive(&crowd{clients: tc.clients, message: bodyMessage(tc.head, byLength, unended, tc.size), address: f.control.address(f.ports.Control)})
		})
	}
}

// More clients than there are descriptors, with small bodies or heads short of their end, leave
// room for an ordinary request.
func TestDescriptorsAreLeft(t *testing.T) {
	t.Run("bodies", func(t *testing.T) {
		testEntry(t, crowd{clients: smallCrowd, message: bodyMessage(callerHead("/unsafe/x"), byLength, unended, smallBody)})
	})
	t.Run("heads", func(t *testing.T) {
		testEntry(t, crowd{clients: smallCrowd, message: unendedHead})
	})
	t.Run("silence", func(t *testing.T) {
		testEntry(t, crowd{clients: smallCrowd, message: func(net.Conn, func() bool) {}})
	})
	for _, port := range []string{"detours", "members", "directory"} {
		t.Run(port, func(t *testing.T) {
			f := startFleet(t)
			address := map[string]string{
				"detours": f.entry.address(f.ports.LastInternal), "members": f.control.address(f.ports.Internal), "directory": f.control.address(f.ports.Directory),
			}[port]
			f.survive(&crowd{clients: smallCrowd, message: unendedHead, address: address})
		})
	}
}

// A crowd of all kinds at once.
func TestMixedCrowd(t *testing.T) {
	head := callerHead("/unsafe/x")
	kinds := []message{
		bodyMessage(head, byLength, whole, largeBody), bodyMessage(head, byLargeChunks, unended, largeBody),
		bodyMessage(head, byTinyChunks, unended, tinyBody), bodyMessage(head, byLength, unended, smallBody),
		unendedHead, endlessLine, endlessLines, emptyLines,
	}
	next := make(chan message, headCrowd)
	for i := range headCrowd {
		next <- kinds[i%len(kinds)]
	}
	testEntry(t, crowd{clients: headCrowd, message: func(c net.Conn, more func() bool) { (<-next)(c, more) }})
}

// Clients that were cut off come again, with the same.
func TestCrowdThatComesAgain(t *testing.T) {
	testEntry(t, crowd{clients: largeCrowd, message: bodyMessage(callerHead("/unsafe/x"), byLength, unended, largeBody), again: true})
}

// Callers that do not read their answers take neither the memory nor the descriptors of an entry.
func TestUnreadAnswers(t *testing.T) {
	head := callerHead("/safe/large") + "\r\n"
	testEntry(t, crowd{clients: headCrowd, message: func(c net.Conn, _ func() bool) {
		c.(timedConn).Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		io.WriteString(c, head)
		time.Sleep(writeTimeout) // the answers are ready by then
	}})
}

// testEntry sends the crowd to the callers' port of an entry.
func testEntry(t *testing.T, c crowd) {
	t.Helper()
	f := startFleet(t)
	c.address = f.entry.address(f.ports.Callers)
	f.survive(&c)
}

// survive lets the crowd come and checks that the processes live within their limits, and that
// an ordinary request is answered while the crowd is there, and a large one afterwards.
func (f *fleet) survive(c *crowd) {
	f.t.Helper()
	watched := []*process{f.entry, f.control}
	var peaks []*peak
	var used []time.Duration
	for _, p := range watched {
		peaks = append(peaks, p.watchConnections())
		used = append(used, p.processorTime())
	}
	c.come()
	for i, p := range watched {
		f.t.Logf("%s: %s of processor time for the crowd", p.node.Name, p.processorTime()-used[i])
	}
	if !f.isAnswered([]byte("ordinary")) {
		f.t.Error("an ordinary request is not answered while the crowd is there")
	}
	if !f.readConfig() {
		f.t.Error("the configuration can't be read while the crowd is there")
	}
	c.leave()
	for i, p := range watched {
		if n := peaks[i].result(); n > f.files-reservedFiles {
			f.t.Errorf("%s had %d connections open, %d are allowed", p.node.Name, n, f.files-reservedFiles)
		}
	}
	if !f.isAnswered(make([]byte, largeBody)) {
		f.t.Error("a request of legal size is not answered after the crowd has left")
	}
	for _, p := range watched {
		if !p.isAlive() {
			f.t.Errorf("%s has ended", p.node.Name)
			continue
		}
		mb := p.peakMemoryMB(f.t)
		f.t.Logf("%s: %d MB at most", p.node.Name, mb)
		if mb > memoryMB {
			f.t.Errorf("%s took %d MB, its instance has %d", p.node.Name, mb, memoryMB)
		}
	}
}

// come opens the connections and lets each client send its message, as far as the process reads
// it.
func (c *crowd) come() {
	turns := newTurns(c.clients)
	conns := make(chan net.Conn, c.clients*(reconnects+1))
	together(c.clients, func(int) {
		defer turns.leave()
		for try := 0; try <= reconnects; try++ {
			conn, err := net.DialTimeout("tcp", c.address, writeTimeout)
			if err != nil {
				continue
			}
			conns <- conn
			c.message(timedConn{conn}, turns.next)
			if !c.again || readStatus(conn) == 0 && isOpen(conn) {
				return
			}
		}
	})
	close(conns)
	for conn := range conns {
		c.conns = append(c.conns, conn)
	}
}

// leave closes the connections.
func (c *crowd) leave() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

// isOpen reports whether the process has not closed the connection.
func isOpen(c net.Conn) bool {
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// timedConn limits the time of each write.
type timedConn struct{ net.Conn }

func (c timedConn) Write(p []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}

// turns lets clients send in rounds: none begins a round before all have ended the last one.
type turns struct {
	arrive chan bool // true if the client goes on
	begin  chan struct{}
}

func newTurns(n int) *turns {
	t := &turns{arrive: make(chan bool), begin: make(chan struct{}, n)}
	go t.run(n)
	return t
}

func (t *turns) run(n int) {
	for n > 0 {
		waiting := 0
		for arrived := 0; arrived < n; arrived++ {
			if <-t.arrive {
				waiting++
			}
		}
		n = waiting
		for range waiting {
			t.begin <- struct{}{}
		}
	}
}

// next ends a client's part of a round and waits for the next one.
func (t *turns) next() bool {
	t.arrive <- true
	<-t.begin
	return true
}

func (t *turns) leave() { t.arrive <- false }

func callerHead(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nX-Rosereach-Attempt-Id: crowd-%d\r\n", path, callerKey, time.Now().UnixNano())
}

// bodyMessage returns a request with a body of the given size.
func bodyMessage(head string, f framing, p pace, size int) message {
	body, head := encodeBody(head, f, size)
	return func(c net.Conn, next func() bool) {
		if _, err := c.Write([]byte(head)); err != nil {
			return
		}
		left := body
		if p == unended {
			left = left[:len(left)-1]
			if f != byLength {
				left = bytes.TrimSuffix(body, []byte("0\r\n\r\n"))
			}
		}
		for len(left) > 0 {
			n := min(pieceBytes, len(left))
			if _, err := c.Write(left[:n]); err != nil {
				return
			}
			if left = left[n:]; p == piece && !next() {
				return
			}
		}
	}
}

// encodeBody returns the bytes of the body on the wire, and the head with the line that marks its
// end.
func encodeBody(head string, f framing, size int) ([]byte, string) {
	switch f {
	case byLargeChunks:
		chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes))
		return []byte(strings.Repeat(chunk, size/pieceBytes) + "0\r\n\r\n"), head + "Transfer-Encoding: chunked\r\n\r\n"
	case byTinyChunks:
		return []byte(strings.Repeat("1\r\nx\r\n", size) + "0\r\n\r\n"), head + "Transfer-Encoding: chunked\r\n\r\n"
	}
	return bytes.Repeat([]byte("x"), size), head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
}

// overLimitHead is a whole head of four times the limit.
func overLimitHead(c net.Conn, _ func() bool) {
	var b strings.Builder
	b.WriteString("GET /safe/x HTTP/1.1\r\nHost: h\r\n")
	for i := 0; b.Len() < 4*maxHeaderBytes; i++ {
		fmt.Fprintf(&b, "X-%d: %d\r\n", i, i)
	}
	fmt.Fprint(c, b.String()+"\r\n")
}

// unendedHead is a head inside the limit that lacks its end.
func unendedHead(c net.Conn, _ func() bool) {
	fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Long: %s", strings.Repeat("x", maxHeaderBytes-1500))
}

// endlessBytes is how much of a message without end a client sends.
const endlessBytes = 4 << 20

func endlessLine(c net.Conn, _ func() bool) {
	sendEndless(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Long: ", func(int) string { return strings.Repeat("x", pieceBytes) })
}

func endlessLines(c net.Conn, _ func() bool) {
	sendEndless(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\n", func(i int) string {
		var b strings.Builder
		for j := 0; b.Len() < pieceBytes; j++ {
			fmt.Fprintf(&b, "X%d-%d: x\r\n", i, j)
		}
		return b.String()
	})
}

func emptyLines(c net.Conn, _ func() bool) {
	sendEndless(c, "", func(int) string { return strings.Repeat("\r\n", pieceBytes/2) })
}

func sendEndless(c net.Conn, first string, nextPiece func(i int) string) {
	if _, err := c.Write([]byte(first)); err != nil {
		return
	}
	for i := range endlessBytes / pieceBytes {
		if _, err := c.Write([]byte(nextPiece(i))); err != nil {
			return
		}
	}
}
