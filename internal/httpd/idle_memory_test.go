package httpd_test

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"rosereach/internal/httpd"
)

// Idle connections held the ids of their last requests, up to a head each, which no account counted.
func TestIdleConnectionsHoldNoLongIDs(t *testing.T) {
	const idBytes = 12 << 10
	address := startServer(t, httpd.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		httpd.Identify(r.Context(), r.Header.Get("Id"))
	})})
	heldByIdle(t, address, 16) // what is allocated once
	if extra := heldByIdle(t, address, idBytes) - heldByIdle(t, address, 16); extra > idBytes/2 {
		t.Errorf("a connection holds %d bytes more after an id of %d", extra, idBytes)
	}
}

// heldByIdle returns the memory of a connection whose last request had an id of n bytes, on both sides.
func heldByIdle(t *testing.T, address string, n int) int64 {
	t.Helper()
	const conns = 300
	before := heapBytes()
	for range conns {
		c := dial(t, address)
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n", strings.Repeat("x", n))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		fmt.Fprint(c, "GET / HTTP/1.1\r\n") // net/http lets go of the last request
	}
	return (heapBytes() - before) / conns
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
