package upstream

import (
	"io"

	"github.com/juju/errors"
)

// errTooLong is returned when more bytes were to be read than a bound allows.
const errTooLong = errors.ConstError("the head of the answer is too long")

// boundedReader reads from r, and no more than a number of bytes while it is bound.
type boundedReader struct {
	r       io.Reader
	isBound bool
	left    int
}

// bound allows at most n bytes from now on.
func (b *boundedReader) bound(n int) { b.isBound, b.left = true, n }

// unbound allows any number of bytes.
func (b *boundedReader) unbound() { b.isBound = false }

// Read reads from the underlying reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.isBound {
		return b.r.Read(p)
	}
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
