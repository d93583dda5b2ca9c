package cmd

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/core/finding"
)

// The committed pages of the manual list every command and flag. To regenerate
// them: go run . man man
func TestManualIsComplete(t *testing.T) {
	folder := filepath.Join("..", "..", "man")
	pages := manual(commands())
	for name, want := range pages {
		got, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			t.Error(err)
			continue
		}
		if diff := cmp.Diff(string(want), string(got)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if _, ok := pages[f.Name()]; !ok {
			t.Errorf("%s is a manual page without a command", f.Name())
		}
	}
}

// Every invalid setting is reported with what is allowed for it, all of them in
// one error.
func TestSettingsReportAllFindings(t *testing.T) {
	read := func(s *settings) {
		s.required("id")
		s.address("listen")
		s.addresses("controls")
		s.duration("ttl")
		s.number("most", 1, 9)
		s.ratio("share")
		s.time("at")
		s.versionRef(0)
		s.file(1, "FILE")
		s.values("values")
		s.clientTLS(s.tlsFiles())
	}
	var found finding.List
	names := []string{"id", "listen", "controls", "ttl", "most", "share", "at", "values", "tls-cert", "tls-key", "tls-ca"}
	var flags []cli.Flag
	for _, name := range names {
		flags = append(flags, flag(name, "", ""))
	}
	root := &cli.Command{Flags: flags, Action: func(_ context.Context, c *cli.Command) error {
		s := newSettings(c)
		read(s)
		return s.err()
	}}
	err := root.Run(t.Context(), []string{
		"x", "--listen", "nowhere", "--controls", "a:1,b", "--ttl", "soon", "--most", "10", "--share", "2",
		"--at", "noon", "--values", "a=1;b", "--tls-cert", "missing.pem", "--tls-ca", "missing.pem", "small", "/missing/file",
	})
	if !errors.As(err, &found) || exitCodeOf(err) != exitSettings {
		t.Fatalf("%v", err)
	}
	var places []string
	for _, f := range found {
		places = append(places, f.Path)
		if f.Allowed == "" {
			t.Errorf("finding %s does not say what is allowed", f)
		}
	}
	want := []string{
		"--id", "--listen", "--controls", "--ttl", "--most", "--share", "--at", "MODEL@VERSION", "/missing/file",
		"--values", "--tls-cert, --tls-key", "--tls-ca",
	}
	if diff := cmp.Diff(want, places); diff != "" {
		t.Error(diff)
	}
	if text := err.Error(); strings.Count(text, "\n") != len(want)-1 {
		t.Errorf("the error does not have one line for each finding:\n%s", text)
	}
}
