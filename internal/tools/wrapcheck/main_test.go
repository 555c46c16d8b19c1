package main

import (
	"go/parser"
	"go/token"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRepositoryWrapsNoNilErrors(t *testing.T) {
	found, err := findUnguarded("../../..")
	require.NoError(t, err)
	require.Empty(t, found, "check the error before errors.Wrap, which never returns nil")
}

func TestUnguardedWrapIsFound(t *testing.T) {
	source := `package p
func f(err error) error { return errors.Wrap(err, "x") }
func g(err error) error { if err != nil { return errors.Wrap(err, "x") }; return nil }`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, 0)
	require.NoError(t, err)
	require.Len(t, unguardedCalls(file), 1)
}
