package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lookers = 12 // clients that look up at the same time

	// A lookup's answer is sent in two parts, this time apart.
	partTime = 60 * time.Millisecond
)

// answerWithoutLength answers in two parts, whose end nothing but that of the connection marks.
func answerWithoutLength(w *worker, out http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()                                                                                                                                     //nolint:errcheck // the caller may have gone
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n%s: stamp.%s.%s\r\n\r\nbegin %s\n", headerAttempt, id, headerStamp, w.id, id, id) //nolint:errcheck // the caller may have gone
	time.Sleep(partTime)
	fmt.Fprintf(conn, "end %s\n", id) //nolint:errcheck // see above
}

// whole plays clients that look up again and again, and reports whether one got a success with a part of its
// answer that looks whole.
func whole(entries []string, until time.Time) bool {
	var wg sync.WaitGroup
	var answers, cut, broken atomic.Int64
	for looker := range lookers {
		wg.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("lookup-%d-%d", looker, i)
				status, stamp, body, err := lookUp(entries[(looker+i)%len(entries)], id)
				answers.Add(1)
				switch {
				case err != nil:
					cut.Add(1)
					record("client: %s breaks off: %v", id, err)
				case status == http.StatusOK && body != "begin "+id+"\nend "+id+"\n":
					broken.Add(1)
					record("client: %s has status 200, stamp %q and, in order, the body %q", id, stamp, body)
				case status != http.StatusOK:
					record("client: %s has status %d", id, status)
				}
			}
		})
	}
	wg.Wait()
	record("client: %d answers, %d broke off, %d are a part that looks whole", answers.Load(), cut.Load(), broken.Load())
	return broken.Load() > 0
}

// lookUp sends a request that may be repeated and returns its answer. The error says that it broke off.
func lookUp(entry, id string) (status int, stamp, body string, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+entry+"/lookup/"+id, nil) //nolint:noctx // the client has a timeout
	if err != nil {
		return 0, "", "", err
	}
	req.Host = "ficu95.example"
	req.Header.Set(headerAttempt, id)
	req.Header.Set("X-Rosereach-Deadline-Ms", "6000")
	client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	var text strings.Builder
	_, err = io.Copy(&text, resp.Body)
	return resp.StatusCode, resp.Header.Get(headerStamp), text.String(), err
}
