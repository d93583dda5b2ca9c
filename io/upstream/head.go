package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"

	"rosereach/core/overload"
)

const (
	// maxHeadBytes is the largest head of an answer in bytes, and maxHeadLines in lines, with the
	// informational answers (1xx) before it. A short line takes many times its size once it is
	// decoded.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256

	errTooLong = errors.ConstError("the head of the answer is too long")
)

// headReader reads from r, and counts the heads of answers that pass.
type headReader struct {
	r      io.Reader
	hold   func(n int64) bool // nil for no account
	inHead bool
	blank  bool // nothing is in the line so far
	bytes  int
	lines  int
	err    error // of count; a peek does not return it
}

// expect begins the heads of the next answer. Hold takes room for n bytes of memory, and reports
// whether there was room.
func (h *headReader) expect(hold func(n int64) bool) {
	h.hold, h.bytes, h.lines, h.err = hold, 0, 0, nil
}

// begin begins a head, of which some bytes may have been read ahead.
func (h *headReader) begin(ahead *bufio.Reader) error {
	h.inHead, h.blank = true, true
	read, err := ahead.Peek(ahead.Buffered())
	if err != nil {
		return errors.Trace(err)
	}
	return h.count(read)
}

// Read reads from the underlying reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.err != nil {
		return 0, h.err
	}
	n, err := h.r.Read(p)
	if h.err = h.count(p[:n]); h.err != nil {
		return 0, h.err
	}
	return n, err
}

// count counts the part of p that belongs to the head.
func (h *headReader) count(p []byte) error {
	n := 0
	for h.inHead && n < len(p) {
		line, _, isWhole := bytes.Cut(p[n:], []byte("\n"))
		n += len(line)
		h.blank = h.blank && len(bytes.TrimSuffix(line, []byte("\r"))) == 0
		if isWhole {
			n++
			h.lines++
			h.inHead, h.blank = !h.blank, true
		}
	}
	if n == 0 {
		return nil
	}
	if h.bytes += n; h.bytes > maxHeadBytes || h.lines > maxHeadLines {
		return errTooLong
	}
	if h.hold != nil && !h.hold(overload.HeadCost(p[:n])) {
		return errors.Trace(ErrNoRoom)
	}
	return nil
}
