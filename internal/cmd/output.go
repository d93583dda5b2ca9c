package cmd

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"rosereach/core/audit"
	"rosereach/core/catalog"
)

// timeLayout is the format of times in tables.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// table is a text table with a header.
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) *table { return &table{header: header} }

// addRow appends a row; each cell is formatted by fmt.Sprint.
func (t *table) addRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, fmt.Sprint(c))
	}
	t.rows = append(t.rows, row)
}

// print writes the table to standard output. Write errors are ignored, because
// there is nowhere left to report them.
func (t *table) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		fmt.Fprintln(w, strings.Join(row, "\t")) //nolint:errcheck // see above
	}
	w.Flush() //nolint:errcheck // see above
}

// show prints v as JSON when --json is given, and as a table otherwise.
func (s *settings) show(v any, t *table) error {
	if s.cmd.Bool("json") {
		return printJSON(v)
	}
	t.print()
	return nil
}

// showDocument prints a document as a table of its fields, or as JSON.
func (s *settings) showDocument(document any) error {
	data, err := json.Marshal(document)
	if err != nil {
		return errors.Trace(err)
	}
	t := newTable("FIELD", "VALUE")
	for _, d := range audit.Differences(nil, data) {
		t.addRow(d.Path, d.After)
	}
	return s.show(document, t)
}

func printPermissionChanges(effects []catalog.Effect) {
	if len(effects) == 0 {
		fmt.Println("no workspace's permissions change")
		return
	}
	t := newTable("WORKSPACE", "FIELD", "BEFORE", "AFTER")
	for _, e := range effects {
		before, errBefore := json.Marshal(e.Before)
		after, errAfter := json.Marshal(e.After)
		if errBefore != nil || errAfter != nil {
			continue
		}
		for _, d := range audit.Differences(before, after) {
			t.addRow(e.Workspace, d.Path, d.Before, d.After)
		}
	}
	t.print()
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(v))
}
