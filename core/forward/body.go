package forward

import (
	"errors"
	"io"
)

// The sizes of a body's pieces. They grow, so that a body which stops early takes little more
// memory than it has brought, and a large one is never copied.
const (
	minPieceBytes = 1 << 10
	maxPieceBytes = 64 << 10
)

// Body is the body of a request in pieces, in order. It is not changed after it was read.
type Body [][]byte

// BodyOf returns a body of one piece.
func BodyOf(b []byte) Body {
	if len(b) == 0 {
		return nil
	}
	return Body{b}
}

// ReadBody reads a body to its end. Announced is its size in bytes, -1 if that is not known; no
// memory is taken for what has not arrived.
func ReadBody(r io.Reader, announced int64) (Body, error) {
	var b Body
	left, size := announced, int64(minPieceBytes)
	for announced < 0 || left > 0 {
		if announced >= 0 {
			size = min(size, left)
		}
		piece := make([]byte, size)
		n, err := fill(r, piece)
		if n > 0 {
			b = append(b, piece[:n])
		}
		left -= int64(n)
		switch {
		case errors.Is(err, io.EOF) && left > 0:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, maxPieceBytes)
	}
	return b, nil
}

// fill reads until p is full or the reader ends. Unlike with io.ReadFull, io.EOF is the end of the
// reader and nothing else.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

// Len returns the size of the body in bytes.
func (b Body) Len() int {
	n := 0
	for _, piece := range b {
		n += len(piece)
	}
	return n
}
