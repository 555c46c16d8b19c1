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

var soakDuration = flag.Duration("soak-for", 10*time.Second, "time in which faults are injected in each run of TestSoak")

// manyDaemons is the number of daemons of the large soak, in two data centres. With so many,
// most daemons do not probe a given host but learn of it from another daemon.
const manyDaemons = 18

// soakRun is one run of the fault soak.
type soakRun struct {
	seed    uint64
	daemons int
}

// TestSoak makes short runs of the fault soak: two seeds with the default number of daemons,
// one of them also with many daemons, and every run that ever found a fault. To run more
// seeds use rhubarbstub soak.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	defaultDaemons := soak.Defaults().Daemons
	runs := []soakRun{{1, defaultDaemons}, {2, defaultDaemons}, {2, manyDaemons}}
	runs = append(runs, regressionRuns(t, defaultDaemons)...)
	for _, run := range runs {
		seed := run.seed
		t.Run(fmt.Sprintf("%d with %d", seed, run.daemons), func(t *testing.T) {
			t.Parallel()
			set := soak.Defaults()
			set.Program, set.Seed, set.Length, set.Logs = filepath.Join(binaryDir, "rhubarbswitchd"), seed, *soakDuration, t.TempDir()
			set.Daemons = run.daemons
			report, err := soak.Run(t.Context(), set)
			require.NoError(t, err)
			for _, f := range report.Findings {
				t.Errorf("seed %d, %s: %s: %s", seed, f.At, f.Promise, f.Detail)
			}
			if t.Failed() {
				logDaemonLogs(t, report.Logs)
			}
			require.NotZero(t, report.Calls["chat 200"])
			require.NotZero(t, report.Runs)
		})
	}
}

// logDaemonLogs prints the end of each daemon's log.
func logDaemonLogs(t *testing.T, dir string) {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	require.NoError(t, err)
	for _, path := range logs {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		t.Logf("%s: %s", filepath.Base(path), text[max(0, len(text)-maxLogBytes):])
	}
}

// regressionRuns reads the runs that once found a fault. Each line of the file holds the
// seed, the number of daemons if it was not the default, then # and the cause.
func regressionRuns(t *testing.T, defaultDaemons int) []soakRun {
	file, err := os.Open("testdata/soak-seeds.txt")
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	var runs []soakRun
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, _, _ := strings.Cut(lines.Text(), "#"); strings.TrimSpace(text) != "" {
			run := soakRun{daemons: defaultDaemons}
			if _, err := fmt.Sscan(text, &run.seed, &run.daemons); err != nil {
				require.ErrorIs(t, err, io.EOF, "only the number of daemons may be missing")
			}
			runs = append(runs, run)
		}
	}
	return runs
}
