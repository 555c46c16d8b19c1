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

// loggedKeys holds the keys of the fields that the code logs with each event, by the name of
// the event's constant.
type loggedKeys map[string][]string

// collect parses all Go files below root, without tests and without package event.
func collect(root string) (loggedKeys, error) {
	found := make(loggedKeys)
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

// add finds each use of an event constant in a call or composite literal, and adds the keys of
// the fields in the same call or literal.
func (k loggedKeys) add(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch node := n.(type) {
		case *ast.CallExpr:
			k.addParts(node.Args)
		case *ast.CompositeLit:
			k.addParts(node.Elts)
		case *ast.SelectorExpr:
			if name := eventName(node); name != "" {
				k.merge(name, nil)
			}
		}
		return true
	})
}

// addParts adds the keys in the arguments of a call or the elements of a literal, if one of
// them is an event constant.
func (k loggedKeys) addParts(parts []ast.Expr) {
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
		k.merge(name, keys)
	}
}

func (k loggedKeys) merge(name string, keys []string) {
	known := k[name]
	for _, key := range keys {
		if !slices.Contains(known, key) {
			known = append(known, key)
		}
	}
	k[name] = known
}

// eventName returns the name of a selector of package event, or "".
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

// fieldKeys returns the keys of the event.F calls in an expression.
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
