// Command wrapcheck finds calls of errors.Wrap and Wrapf whose error may be nil. With
// go-faster/errors, Wrap returns an error even for nil, so that a success becomes a failure. A
// call is accepted inside an if or case whose condition checks an error.
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

// findUnguarded returns the positions of all unguarded calls below root.
func findUnguarded(root string) ([]string, error) {
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
		for _, at := range unguardedCalls(file) {
			found = append(found, files.Position(at).String())
		}
		return nil
	})
	return found, err
}

// unguardedCalls returns the positions of the calls in a file that no enclosing if or case
// guards.
func unguardedCalls(file *ast.File) []token.Pos {
	var found []token.Pos
	var stack []ast.Node
	ast.Inspect(file, func(n ast.Node) bool {
		if n == nil {
			stack = stack[:len(stack)-1]
			return true
		}
		if call, ok := n.(*ast.CallExpr); ok && isWrap(call) && !isGuarded(stack) {
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

func isGuarded(stack []ast.Node) bool {
	for _, n := range stack {
		switch n := n.(type) {
		case *ast.IfStmt:
			if checksError(n.Cond) {
				return true
			}
		case *ast.CaseClause:
			for _, condition := range n.List {
				if checksError(condition) {
					return true
				}
			}
		}
	}
	return false
}

// checksError reports whether a condition compares something with nil by != or uses package
// errors.
func checksError(condition ast.Expr) bool {
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
	found, err := findUnguarded(".")
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
