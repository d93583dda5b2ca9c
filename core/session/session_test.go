package session

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"rosereach/core/catalog"
	"rosereach/core/version"
)

var (
	oldKey = catalog.SealKey{ID: "old", Secret: []byte("0123456789abcdef0123456789abcdef")}
	newKey = catalog.SealKey{ID: "new", Secret: []byte("fedcba9876543210fedcba9876543210")}
	token  = Token{
		ID: "s1", Workspace: "terminalna", Version: version.Ref{Model: "small", Version: "v1"},
		OpenedAt: time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC),
	}
)

func seal(t testing.TB, keys ...catalog.SealKey) string {
	t.Helper()
	text, err := NewSealer(keys).Seal(token)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A token is accepted only with its own key, while that key is kept, and only for its
// own workspace.
func TestOpen(t *testing.T) {
	text := seal(t, oldKey)
	parts := strings.Split(text, ".")
	forged := seal(t, catalog.SealKey{ID: "old", Secret: newKey.Secret})
	for _, tc := range []struct {
		name, text, workspace string
		keys                  []catalog.SealKey
		want                  error
	}{
		{"its key", text, "terminalna", []catalog.SealKey{oldKey}, nil},
		{"after a rotation", text, "terminalna", []catalog.SealKey{newKey, oldKey}, nil},
		{"after its key was rotated out", text, "terminalna", []catalog.SealKey{newKey}, ErrKeyRetired},
		{"other workspace", text, "vitrina", []catalog.SealKey{oldKey}, ErrWrongWorkspace},
		{"other secret", forged, "terminalna", []catalog.SealKey{oldKey}, ErrBadToken},
		{"content changed", parts[0] + "." + parts[1] + "A." + parts[2], "terminalna", []catalog.SealKey{oldKey}, ErrBadToken},
		{"no signature", parts[0] + "." + parts[1] + ".", "terminalna", []catalog.SealKey{oldKey}, ErrBadToken},
		{"no token", "x", "terminalna", []catalog.SealKey{oldKey}, ErrBadToken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := NewSealer(tc.keys).Open(tc.text, tc.workspace)
			if !errors.Is(err, tc.want) {
				t.Fatalf("error %v, want %v", err, tc.want)
			}
			if diff := cmp.Diff(token, got); tc.want == nil && diff != "" {
				t.Error(diff)
			}
		})
	}
	if _, err := NewSealer(nil).Seal(token); !errors.Is(err, ErrNoKey) {
		t.Errorf("seal without a key: %v", err)
	}
}

// next returns the character after c. At the end of a signature the two differ only
// in bits that the base64 encoding does not use.
func next(c byte) string { return string(c + 1) }

// Only texts that the sealer made are accepted, byte for byte.
func FuzzOpen(f *testing.F) {
	text := seal(f, oldKey)
	f.Add(text)
	f.Add(text + "A")
	f.Add(text + "\n")
	f.Add(text[:len(text)-1] + next(text[len(text)-1]))
	f.Add("old.e30.e30")
	f.Add("..")
	f.Fuzz(func(t *testing.T, candidate string) {
		got, err := NewSealer([]catalog.SealKey{oldKey}).Open(candidate, "terminalna")
		if err != nil {
			return
		}
		if again, err := NewSealer([]catalog.SealKey{oldKey}).Seal(got); err != nil || again != candidate {
			t.Errorf("%q opened as %+v", candidate, got)
		}
	})
}
