package cmd

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

const (
	folderMode = 0o755
	pageMode   = 0o644
)

// exitCodes lists the exit codes and their meanings, as the manual pages show
// them.
var exitCodes = []struct {
	code    int
	meaning string
}{
	{exitOK, "done"},
	{exitFailure, "failed; the message says what to do"},
	{exitSettings, "bad settings or documents; all findings are listed"},
	{exitRefused, "refused; nothing was changed"},
	{exitConflict, "conflict: the document has another revision; nothing was changed"},
	{exitUnknown, "outcome unknown: send it again with the same change id"},
	{exitNotInForce, "accepted, but not yet in force everywhere"},
}

// cmdMan returns the hidden command that writes the pages of the manual.
func cmdMan() *command {
	return &command{
		name: "man", short: "write the pages of the manual", args: "FOLDER", hidden: true, action: writeManual,
	}
}

func writeManual(_ context.Context, c *cli.Command) error {
	s := newSettings(c)
	folder := s.argument(0, "FOLDER")
	if err := s.err(); err != nil {
		return err
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Trace(err)
	}
	for name, page := range manual(commands()) {
		if err := os.WriteFile(filepath.Join(folder, name), page, pageMode); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// manual returns a page for each command that is not hidden, by file name.
func manual(table []*command) map[string][]byte {
	pages := make(map[string][]byte, len(table))
	for _, c := range table {
		if !c.hidden {
			pages["rosereach-"+c.name+".md"] = manualPage(c)
		}
	}
	return pages
}

func manualPage(c *command) []byte {
	var b bytes.Buffer
	title := "rosereach " + c.name
	fmt.Fprintf(&b, "# %s\n\n%s\n", title, c.short)
	writeUsage(&b, title, c)
	for _, sub := range c.subs {
		name := title + " " + sub.name
		fmt.Fprintf(&b, "\n## %s\n\n%s\n", name, sub.short)
		writeUsage(&b, name, sub)
	}
	if c.notes != "" {
		fmt.Fprintf(&b, "\n%s", c.notes)
	}
	fmt.Fprintf(&b, "\n## Exit codes\n\n| code | meaning |\n|---|---|\n")
	for _, e := range exitCodes {
		fmt.Fprintf(&b, "| %d | %s |\n", e.code, e.meaning)
	}
	return b.Bytes()
}

func writeUsage(b *bytes.Buffer, name string, c *command) {
	if c.action == nil {
		return
	}
	usage := []string{name, "[flags]", c.args}
	fmt.Fprintf(b, "\n    %s\n", strings.TrimSpace(strings.Join(usage, " ")))
	if len(c.flags) == 0 {
		return
	}
	fmt.Fprintf(b, "\n| flag | variable | when not given | meaning |\n|---|---|---|---|\n")
	for _, f := range c.flags {
		fmt.Fprintf(b, "| `--%s` | `%s` | %s | %s |\n", f.Names()[0], variableOf(f), defaultOf(f), usageOf(f))
	}
}

func variableOf(f cli.Flag) string {
	if d, ok := f.(cli.DocGenerationFlag); ok && len(d.GetEnvVars()) > 0 {
		return d.GetEnvVars()[0]
	}
	return ""
}

func defaultOf(f cli.Flag) string {
	switch f := f.(type) {
	case *cli.StringFlag:
		if f.Value != "" {
			return "`" + f.Value + "`"
		}
	case *cli.BoolFlag:
		return "off"
	}
	return "nothing"
}

func usageOf(f cli.Flag) string {
	if d, ok := f.(cli.DocGenerationFlag); ok {
		return strings.ReplaceAll(d.GetUsage(), "|", "\\|")
	}
	return ""
}
