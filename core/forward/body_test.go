package forward_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"rosereach/core/forward"
)

// A body is read whole, however it arrives, and one that is cut off is an error.
func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 1 << 10, 1<<10 + 1, 64 << 10, 300_000} {
		want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for name, r := range map[string]io.Reader{
			"at once":      bytes.NewReader(want),
			"byte by byte": iotest.OneByteReader(bytes.NewReader(want)),
			"with EOF":     iotest.DataErrReader(bytes.NewReader(want)),
		} {
			announced := int64(size)
			if name == "byte by byte" {
				announced = -1
			}
			got, err := forward.ReadBody(r, announced)
			if err != nil || got.Len() != size || !bytes.Equal(bytes.Join(got, nil), want) {
				t.Errorf("%s, %d bytes: %d bytes, %v", name, size, got.Len(), err)
			}
		}
		if size == 0 {
			continue
		}
		for _, announced := range []int64{int64(size), -1} {
			cut := io.MultiReader(bytes.NewReader(want[1:]), iotest.ErrReader(io.ErrUnexpectedEOF))
			if _, err := forward.ReadBody(cut, announced); err == nil {
				t.Errorf("%d bytes, announced %d, one of them missing: no error", size, announced)
			}
		}
		if _, err := forward.ReadBody(bytes.NewReader(want[1:]), int64(size)); err == nil {
			t.Errorf("%d bytes, one less than announced: no error", size)
		}
	}
}

// A body that announces much and brings little takes little.
func TestReadBodyTakesWhatArrives(t *testing.T) {
	largest := 0
	r := readerFunc(func(p []byte) (int, error) {
		largest = max(largest, len(p))
		return 0, io.ErrNoProgress
	})
	if _, err := forward.ReadBody(r, 4<<20); err == nil || largest > 1<<10 {
		t.Errorf("%d bytes for none, %v", largest, err)
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
