package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, and when.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.start) }

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...)) //nolint:errcheck // close reports nothing either
}

// say adds a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()  //nolint:errcheck // nothing can be done about it
	r.file.Close() //nolint:errcheck // see above
}
