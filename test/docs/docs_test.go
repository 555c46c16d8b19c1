package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

// pages returns every Markdown page with its text.
func pages(t *testing.T) map[string]string {
	found := make(map[string]string)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		text, err := os.ReadFile(path)
		found[path] = string(text)
		return err
	})
	require.NoError(t, err)
	return found
}

var link = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

func TestLinksLeadSomewhere(t *testing.T) {
	for page, text := range pages(t) {
		for _, found := range link.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), found[1]))
			require.NoError(t, err, "%s links to %s", page, found[1])
		}
	}
}

var (
	command  = regexp.MustCompile("`go test ([^`]+)`")
	testName = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	folder   = regexp.MustCompile(`\./[\w/]+`)
)

func TestNamedTestsExist(t *testing.T) {
	for page, text := range pages(t) {
		for _, found := range command.FindAllStringSubmatch(text, -1) {
			// A command may be wrapped over lines.
			line := strings.Join(strings.Fields(found[1]), " ")
			source := testsIn(t, page, folder.FindAllString(line, -1))
			for _, name := range testName.FindAllString(line, -1) {
				// Like -run, a name may be the start of several.
				require.Regexp(t, "func "+name+`\w*\(`, source, "%s names %s", page, name)
			}
		}
	}
}

// testsIn returns the text of all test files in the folders; each must have one.
func testsIn(t *testing.T, page string, folders []string) string {
	var source strings.Builder
	for _, f := range folders {
		files, err := filepath.Glob(filepath.Join(root, f, "*_test.go"))
		require.NoError(t, err)
		require.NotEmpty(t, files, "%s names %s, which has no tests", page, f)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			source.Write(text)
		}
	}
	return source.String()
}

var metricName = regexp.MustCompile(`rhubarbswitch_[a-z_]+[a-z]`)

func TestMetricsPageAgreesWithTheCode(t *testing.T) {
	inCode := make(map[string]bool)
	for _, dir := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, name := range metricName.FindAllString(string(text), -1) {
				inCode[name] = true
			}
			return err
		})
		require.NoError(t, err)
	}
	page, err := os.ReadFile(filepath.Join(root, "docs/metrics.md"))
	require.NoError(t, err)
	inPage := make(map[string]bool)
	for _, name := range metricName.FindAllString(string(page), -1) {
		inPage[name] = true
	}
	require.Equal(t, inCode, inPage)
}
