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

// repositoryRoot is the root of the repository, relative to this package.
const repositoryRoot = "../.."

// readPages returns the text of every Markdown page in the repository, by path.
func readPages(t *testing.T) map[string]string {
	found := make(map[string]string)
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
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

// relativeLink matches a Markdown link to a file, but not one to a URL or within the page.
// Its group is the path.
var relativeLink = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

// TestLinksResolve checks that each relative link points to an existing file or folder.
func TestLinksResolve(t *testing.T) {
	for page, text := range readPages(t) {
		for _, found := range relativeLink.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), found[1]))
			require.NoError(t, err, "%s links to %s", page, found[1])
		}
	}
}

var (
	// testCommand matches a go test command in code quotes; its group is the arguments.
	testCommand = regexp.MustCompile("`go test ([^`]+)`")
	// testName matches the name of a test, fuzz test or benchmark.
	testName = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	// packagePath matches a package path such as ./test/process.
	packagePath = regexp.MustCompile(`\./[\w/]+`)
)

// TestNamedTestsExist checks each go test command in the pages: every folder must have test
// files, and every test name must begin the name of a function in them.
func TestNamedTestsExist(t *testing.T) {
	for page, text := range readPages(t) {
		for _, found := range testCommand.FindAllStringSubmatch(text, -1) {
			// A page may wrap a command over several lines.
			line := strings.Join(strings.Fields(found[1]), " ")
			source := readTestFiles(t, page, packagePath.FindAllString(line, -1))
			for _, name := range testName.FindAllString(line, -1) {
				// As with -run, a name may be the prefix of several tests.
				require.Regexp(t, "func "+name+`\w*\(`, source, "%s names %s", page, name)
			}
		}
	}
}

// readTestFiles returns the text of all test files in the folders. The test fails if a
// folder has none.
func readTestFiles(t *testing.T, page string, folders []string) string {
	var source strings.Builder
	for _, f := range folders {
		files, err := filepath.Glob(filepath.Join(repositoryRoot, f, "*_test.go"))
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

// metricName matches the name of one of the project's metrics.
var metricName = regexp.MustCompile(`rhubarbswitch_[a-z_]+[a-z]`)

// TestMetricsPageMatchesCode compares the metric names in docs/metrics.md with those in the
// Go files of cmd, internal and platform that are not tests.
func TestMetricsPageMatchesCode(t *testing.T) {
	inCode := make(map[string]bool)
	for _, dir := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, dir), func(path string, entry fs.DirEntry, err error) error {
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
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/metrics.md"))
	require.NoError(t, err)
	inPage := make(map[string]bool)
	for _, name := range metricName.FindAllString(string(page), -1) {
		inPage[name] = true
	}
	require.Equal(t, inCode, inPage)
}
