// Package explain tells the story of one request from the logs of several
// processes: what was decided about it, in order of time, and what the
// processes believed at each step.
package explain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

const (
	// maxLine bounds one line of a log; a longer one is torn or foreign.
	maxLine = 1 << 20

	// beliefTime is how far back changes of what a process believes belong to
	// the story.
	beliefTime = 10 * time.Second
)

// The fields that tie lines together.
const (
	fieldTime   = "ts"
	fieldID     = "id"
	fieldServer = "srv"
	fieldPlan   = "plan"
	fieldSubj   = "server"
	fieldRev    = "revision"
	fieldMsg    = "msg"
	fieldLevel  = "level"
)

type (
	// Line is one line of a log.
	Line struct {
		Source string
		At     time.Time
		fields []field
	}

	field struct{ name, value string }

	// Log is what several processes wrote.
	Log struct {
		lines   []Line
		skipped int
	}
)

// Read adds the lines of one source. Lines that are torn or foreign are passed
// over and counted.
func (l *Log) Read(source string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		line, ok := parse(source, s.Bytes())
		if !ok {
			l.skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return errors.Annotatef(s.Err(), "%s", source)
}

// Skipped returns how many lines could not be read.
func (l *Log) Skipped() int { return l.skipped }

// Story returns the lines about the request and those about what was believed
// at its steps, in order of time.
func (l *Log) Story(id string) []Line {
	var story []Line
	servers := make(map[string]bool)
	plans := make(map[string]bool)
	tellers := make(map[string]bool)
	var first, last time.Time
	for _, line := range l.lines {
		if line.Get(fieldID) != id {
			continue
		}
		story = append(story, line)
		tellers[line.Source] = true
		servers[line.Get(fieldServer)] = true
		plans[line.Get(fieldPlan)] = true
		if first.IsZero() || line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
	}
	if len(story) == 0 {
		return nil
	}
	for _, line := range l.lines {
		if line.Get(fieldID) == id || line.At.After(last) {
			continue
		}
		near := line.At.After(first.Add(-beliefTime))
		aboutServer := near && servers[line.Get(fieldSubj)] && line.Get(fieldSubj) != ""
		aboutPlan := tellers[line.Source] && line.Get(fieldRev) != "" && plans[line.Get(fieldRev)]
		if aboutServer || aboutPlan {
			story = append(story, line)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}

// Get returns the value of a field, empty when the line has none.
func (l Line) Get(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// String gives the line for people: when, who, what, and the rest.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-22s %s", l.At.Format("15:04:05.000"), l.Source, l.Get(fieldMsg))
	for _, f := range l.fields {
		switch f.name {
		case fieldTime, fieldMsg, fieldLevel, "part":
			continue
		}
		if f.value != "" && f.value != "null" {
			fmt.Fprintf(&b, " %s=%s", f.name, f.value)
		}
	}
	return b.String()
}

// parse reads a line. What stands before its first field, such as a collector's
// own prefix, names the source when it holds a word.
func parse(source string, text []byte) (Line, bool) {
	start := bytes.Index(text, []byte("level="))
	if at := bytes.Index(text, []byte("part=")); at >= 0 && (start < 0 || at < start) {
		start = at
	}
	if start < 0 {
		return Line{}, false
	}
	if before := strings.Fields(string(text[:start])); len(before) > 0 {
		source = before[len(before)-1]
	}
	line := Line{Source: source}
	d := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		line.fields = append(line.fields, field{name: string(d.Key()), value: string(d.Value())})
	}
	at, err := time.Parse(time.RFC3339Nano, line.Get(fieldTime))
	if d.Err() != nil || err != nil {
		return Line{}, false
	}
	line.At = at
	return line, true
}
