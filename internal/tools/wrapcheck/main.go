// Command wrapcheck finds calls of errors.Wrap that may wrap a nil error. Wrap of
// go-faster/errors returns an error even then, so that success would read as
// failure. A call is fine inside an if or case whose condition looks at an error.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"log"
	"os"
	"path/filepath"
	"strings"
)

// check returns the places below root where errors.Wrap is not guarded.
func check(root string) ([]string, error) {
	var found []string
	files := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".git") {
			return fs.SkipDir
		}
		if filepath.Ext(path) != ".go" {
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		for _, at := range unguarded(file) {
			found = append(found, files.Position(at).String())
		}
		return nil
	})
	return found, err
}

// unguarded walks a file with the stack of enclosing nodes.
func unguarded(file *ast.File) []token.Pos {
	var found []token.Pos
	var stack []ast.Node
	ast.Inspect(file, func(n ast.Node) bool {
		if n == nil {
			stack = stack[:len(stack)-1]
			return true
		}
		if call, ok := n.(*ast.CallExpr); ok && isWrap(call) && !guarded(stack) {
			found = append(found, call.Pos())
		}
		stack = append(stack, n)
		return true
	})
	return found
}

func isWrap(call *ast.CallExpr) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || (selector.Sel.Name != "Wrap" && selector.Sel.Name != "Wrapf") {
		return false
	}
	pkg, ok := selector.X.(*ast.Ident)
	return ok && pkg.Name == "errors"
}

func guarded(stack []ast.Node) bool {
	for _, n := range stack {
		switch n := n.(type) {
		case *ast.IfStmt:
			if looksAtError(n.Cond) {
				return true
			}
		case *ast.CaseClause:
			for _, condition := range n.List {
				if looksAtError(condition) {
					return true
				}
			}
		}
	}
	return false
}

// looksAtError reports whether a condition compares with nil, or sorts an error.
func looksAtError(condition ast.Expr) bool {
	found := false
	ast.Inspect(condition, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.BinaryExpr:
			right, ok := n.Y.(*ast.Ident)
			found = found || (n.Op == token.NEQ && ok && right.Name == "nil")
		case *ast.SelectorExpr:
			pkg, ok := n.X.(*ast.Ident)
			found = found || (ok && pkg.Name == "errors")
		}
		return !found
	})
	return found
}

func main() {
	found, err := check(".")
	if err != nil {
		log.Fatal(err)
	}
	for _, place := range found {
		fmt.Println(place + ": errors.Wrap may wrap nil: check the error first")
	}
	if len(found) > 0 {
		os.Exit(1)
	}
}
