package test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// codesOf returns the values of all constants of type Code in a Go file.
func codesOf(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var codes []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		kind, isIdent := spec.Type.(*ast.Ident)
		value, isText := spec.Values[0].(*ast.BasicLit)
		if isIdent && isText && kind.Name == "Code" {
			code, err := strconv.Unquote(value.Value)
			if err != nil {
				t.Fatal(err)
			}
			codes = append(codes, code)
		}
		return true
	})
	return codes
}

// The page of error codes lists exactly the codes that callers can get.
func TestErrorCodesPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "operate", "error-codes.md"))
	if err != nil {
		t.Fatal(err)
	}
	section := regexp.MustCompile(`(?s)## What callers see\n(.*?)\n## `).FindSubmatch(page)
	if section == nil {
		t.Fatal("the page has no section for callers")
	}
	var listed []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| [0-9]{3} \\| [^|]+ \\| [^|]+ \\|$").FindAllSubmatch(section[1], -1) {
		listed = append(listed, string(row[1]))
	}
	codes := codesOf(t, filepath.Join("..", "core", "request", "refusal.go"))
	if len(codes) == 0 {
		t.Fatal("no codes found")
	}
	sorted := cmpopts.SortSlices(func(a, b string) bool { return a < b })
	if diff := cmp.Diff(codes, listed, sorted); diff != "" {
		t.Error(diff)
	}
}
