package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// uses holds, by the constant's name in package event, the field keys that the
// code logs with it.
type uses map[string][]string

// collect reads every Go file below root but tests and package event itself.
func collect(root string) (uses, error) {
	found := make(uses)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "event" || strings.HasPrefix(entry.Name(), ".git")) {
			return fs.SkipDir
		}
		if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		found.add(file)
		return nil
	})
	for _, keys := range found {
		slices.Sort(keys)
	}
	return found, err
}

// add gathers, for every mention of an event, the keys of its own call or literal.
func (u uses) add(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch node := n.(type) {
		case *ast.CallExpr:
			u.addAll(node.Args)
		case *ast.CompositeLit:
			u.addAll(node.Elts)
		case *ast.SelectorExpr:
			if name := eventName(node); name != "" {
				u.merge(name, nil)
			}
		}
		return true
	})
}

func (u uses) addAll(parts []ast.Expr) {
	var name string
	var keys []string
	for _, part := range parts {
		if pair, ok := part.(*ast.KeyValueExpr); ok {
			part = pair.Value
		}
		if found := eventName(part); found != "" {
			name = found
			continue
		}
		keys = append(keys, fieldKeys(part)...)
	}
	if name != "" {
		u.merge(name, keys)
	}
}

func (u uses) merge(name string, keys []string) {
	known := u[name]
	for _, key := range keys {
		if !slices.Contains(known, key) {
			known = append(known, key)
		}
	}
	u[name] = known
}

func eventName(e ast.Expr) string {
	selector, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "event" {
		return selector.Sel.Name
	}
	return ""
}

// fieldKeys returns the keys of the event.F calls within an expression.
func fieldKeys(e ast.Expr) []string {
	var keys []string
	ast.Inspect(e, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || eventName(call.Fun) != "F" || len(call.Args) == 0 {
			return true
		}
		if literal, ok := call.Args[0].(*ast.BasicLit); ok {
			if key, err := strconv.Unquote(literal.Value); err == nil {
				keys = append(keys, key)
			}
		}
		return true
	})
	return keys
}
