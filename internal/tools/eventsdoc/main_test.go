package main

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const root = "../../.."

func TestPageAgreesWithCatalogueAndCode(t *testing.T) {
	want, err := page(root)
	require.NoError(t, err)
	got, err := os.ReadFile(filepath.Join(root, "docs/events.md"))
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "run go generate ./internal/event")

	inDocs := make(map[string]bool)
	for _, row := range regexp.MustCompile(`(?m)^\| (RS\d{4}) \|`).FindAllSubmatch(got, -1) {
		inDocs[string(row[1])] = true
	}
	inCode := make(map[string]bool)
	for _, d := range event.All() {
		inCode[d.ID.String()] = true
	}
	require.Equal(t, inCode, inDocs)
}

func TestEveryEventIsInTheCatalogueAndLogged(t *testing.T) {
	constants, err := constantNames(root)
	require.NoError(t, err)
	used, err := collect(root)
	require.NoError(t, err)
	for id, name := range constants {
		_, catalogued := event.Lookup(id)
		require.True(t, catalogued, "%s has a number but no entry in the catalogue", name)
		require.Contains(t, used, name, "%s is never logged: log it or remove it", name)
	}
	require.Len(t, event.All(), len(constants))
}
