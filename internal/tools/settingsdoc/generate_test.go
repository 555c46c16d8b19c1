package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
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

// TestEverySettingIsUsed finds settings that no code outside config/settings.go reads.
func TestEverySettingIsUsed(t *testing.T) {
	var source strings.Builder
	root := "../../.."
	for _, dir := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			settings := filepath.Base(path) == "settings.go" && filepath.Base(filepath.Dir(path)) == "config"
			if entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") || settings {
				return nil
			}
			text, err := os.ReadFile(path)
			source.Write(text)
			return err
		})
		require.NoError(t, err)
	}
	var check func(structure reflect.Type)
	check = func(structure reflect.Type) {
		for i := range structure.NumField() {
			f := structure.Field(i)
			require.Regexp(t, `\.`+f.Name+`\b`, source.String(), "no code reads %s.%s", structure.Name(), f.Name)
			if f.Type.Kind() == reflect.Struct {
				check(f.Type)
			}
		}
	}
	check(reflect.TypeFor[config.Settings]())
}
