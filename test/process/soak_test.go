package process

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/soak"
)

var soakFor = flag.Duration("soak-for", 10*time.Second, "time in which each run of TestSoak is disturbed")

// manyDaemons is the number of daemons, in two data centres, of which most hear of hosts from
// another one.
const manyDaemons = 18

// trial is one run of the soak.
type trial struct {
	seed    uint64
	daemons int
}

// TestSoak makes short runs of the fault soak: two seeds, one of them also with many daemons,
// and each that ever found something. More seeds are run with rhubarbstub soak.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	usual := soak.Defaults().Daemons
	runs := []trial{{1, usual}, {2, usual}, {2, manyDaemons}}
	runs = append(runs, knownSeeds(t, usual)...)
	for _, run := range runs {
		seed := run.seed
		t.Run(fmt.Sprintf("%d with %d", seed, run.daemons), func(t *testing.T) {
			t.Parallel()
			set := soak.Defaults()
			set.Program, set.Seed, set.Length, set.Logs = filepath.Join(binaries, "rhubarbswitchd"), seed, *soakFor, t.TempDir()
			set.Daemons = run.daemons
			report, err := soak.Run(t.Context(), set)
			require.NoError(t, err)
			for _, f := range report.Findings {
				t.Errorf("seed %d, %s: %s: %s", seed, f.At, f.Promise, f.Detail)
			}
			if t.Failed() {
				showLogs(t, report.Logs)
			}
			require.NotZero(t, report.Calls["chat 200"])
			require.NotZero(t, report.Runs)
		})
	}
}

// showLogs shows the end of each daemon's log.
func showLogs(t *testing.T, dir string) {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	require.NoError(t, err)
	for _, path := range logs {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		t.Logf("%s: %s", filepath.Base(path), text[max(0, len(text)-logTail):])
	}
}

// knownSeeds returns the runs that once found something: the seed, and the number of daemons
// if that was not the usual one, one a line before a cause.
func knownSeeds(t *testing.T, usual int) []trial {
	file, err := os.Open("testdata/soak-seeds.txt")
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	var runs []trial
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, _, _ := strings.Cut(lines.Text(), "#"); strings.TrimSpace(text) != "" {
			run := trial{daemons: usual}
			if _, err := fmt.Sscan(text, &run.seed, &run.daemons); err != nil {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF, "a seed alone")
			}
			runs = append(runs, run)
		}
	}
	return runs
}
