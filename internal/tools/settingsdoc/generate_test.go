package main

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/strictjson"
)

func TestGeneratedFilesAgreeWithTheCode(t *testing.T) {
	root := "../../.."
	files, err := outputs(root)
	require.NoError(t, err)
	for name, want := range files {
		got, err := os.ReadFile(filepath.Join(root, name))
		require.NoError(t, err)
		require.Equal(t, string(want), string(got), "run go generate ./internal/config")
	}
}

func TestDefaultsDocumentReadsBack(t *testing.T) {
	var s config.Settings
	require.NoError(t, strictjson.Unmarshal(config.DefaultsDocument(), &s))
	require.Equal(t, config.Default(), &s)
}

func TestMinimalSettingsOfThePageAreValid(t *testing.T) {
	files, err := outputs("../../..")
	require.NoError(t, err)
	example := regexp.MustCompile("(?s)```json\n(.*?)```").FindSubmatch(files["docs/settings.md"])
	require.NotNil(t, example)
	_, err = config.Parse(example[1])
	require.NoError(t, err)
}
