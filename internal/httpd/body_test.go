package httpd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"rosereach/internal/httpd"
)

// An answer that does not need the body is sent without it, however large it is, and whether or
// not it ever ends. What is left of the body is never taken for a request.
func TestAnswerBeforeTheBody(t *testing.T) {
	requests := make(chan string, 100)
	address := startServer(t, httpd.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.Path
		http.Error(w, "no", http.StatusNotFound)
	})})
	for name, head := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<20),
		"chunks": "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
	} {
		c := dial(t, address)
		r := bufio.NewReader(c)
		io.WriteString(c, "POST /asked HTTP/1.1\r\nHost: h\r\n"+head+"begin")
		if status := statusOf(t, r); status != http.StatusNotFound {
			t.Errorf("%s: status %d", name, status)
		}
		io.WriteString(c, "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("%s: %v after the answer, want EOF", name, err)
		}
	}
	close(requests)
	for path := range requests {
		if path != "/asked" {
			t.Errorf("request for %s", path)
		}
	}
}

// A client that writes all of its body before it reads gets the answer to a request that was
// rejected by its head, and no reset.
func TestRejectionReachesAClientThatWritesOn(t *testing.T) {
	address := startServer(t, httpd.Server{Handler: http.NotFoundHandler()})
	for _, size := range []int{4 << 20, 16 << 20} {
		c := dial(t, address)
		body := bytes.Repeat([]byte("x"), size)
		io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)))
		for len(body) > 0 {
			n, err := c.Write(body[:min(64<<10, len(body))])
			if err != nil {
				t.Fatalf("%d of %d bytes before the end: %v", len(body), size, err)
			}
			body = body[n:]
			time.Sleep(time.Millisecond)
		}
		if status := statusOf(t, bufio.NewReader(c)); status != http.StatusNotFound {
			t.Errorf("%d bytes: status %d", size, status)
		}
	}
}

// A connection stays in use after a small request that was rejected by its head, and after a large
// one that was read.
func TestConnectionStaysInUse(t *testing.T) {
	address := startServer(t, httpd.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			io.Copy(io.Discard, r.Body)
		}
	})})
	c := dial(t, address)
	r := bufio.NewReader(c)
	for _, request := range []string{
		"POST /reject HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("x", 100),
		"POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		"POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		io.WriteString(c, request)
		if status := statusOf(t, r); status != http.StatusOK {
			t.Errorf("%.20q: status %d", request, status)
		}
	}
}

// An answer ends when its client takes nothing of it for a while, and not when the client is slow.
func TestUnreadAnswerIsEnded(t *testing.T) {
	const allowed = 300 * time.Millisecond
	const size = 16 << 20
	written := make(chan error, 2)
	address := startServer(t, httpd.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, size))
			written <- err
		}),
		Timeouts: httpd.Timeouts{Write: func() time.Duration { return allowed }},
	})
	slow := dial(t, address)
	io.WriteString(slow, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for n, began := 0, time.Now(); n < size; {
		m, err := slow.Read(make([]byte, 1<<20))
		if err != nil {
			t.Fatalf("slow client: %v after %s", err, time.Since(began))
		}
		n += m
		time.Sleep(allowed / 20)
	}
	if err := <-written; err != nil {
		t.Errorf("slow client: %v", err)
	}
	stopped := dial(t, address)
	io.WriteString(stopped, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	select {
	case err := <-written:
		if err == nil {
			t.Error("an answer that nobody reads was written whole")
		}
	case <-time.After(10 * time.Second):
		t.Error("the answer waits for its client")
	}
}

// A client that waits to be asked for its body is asked only for a body that is read.
func TestExpectedBody(t *testing.T) {
	address := startServer(t, httpd.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/reject" {
			http.Error(w, "no", http.StatusServiceUnavailable)
			return
		}
		if n, err := io.Copy(io.Discard, r.Body); n != 100000 || err != nil {
			t.Errorf("%d bytes, %v", n, err)
		}
	})})
	for path, want := range map[string][]int{"/reject": {503}, "/read": {100, 200}} {
		c := dial(t, address)
		r := bufio.NewReader(c)
		io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n")
		for _, status := range want {
			if got := statusOf(t, r); got != status {
				t.Errorf("%s: status %d, want %d", path, got, status)
			}
			if status == http.StatusContinue {
				io.WriteString(c, strings.Repeat("x", 100000))
			}
		}
	}
}

// Requests that are sent without waiting for answers are answered in order, with bodies of all kinds.
func TestPipelinedRequests(t *testing.T) {
	address := startServer(t, httpd.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		w.Write(body)
	})})
	c := dial(t, address)
	var sent, want strings.Builder
	for i := range 50 {
		body := strings.Repeat(fmt.Sprintf("%02d", i), 1+i*400)
		want.WriteString(body)
		if i%2 == 0 {
			fmt.Fprintf(&sent, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		fmt.Fprintf(&sent, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	go io.WriteString(c, sent.String())
	r := bufio.NewReader(c)
	var got strings.Builder
	for i := range 50 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		io.Copy(&got, resp.Body)
		resp.Body.Close()
	}
	if got.String() != want.String() {
		t.Errorf("%d bytes of answers, want %d", got.Len(), want.Len())
	}
}
