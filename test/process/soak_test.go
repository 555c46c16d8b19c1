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

var soakLogs = flag.String("soak-logs", filepath.Join(os.TempDir(), "rhubarbswitch-soak"), "folder in which runs of TestSoak with findings leave their logs")

var soakDuration = flag.Duration("soak-for", 10*time.Second, "time in which faults are injected in each run of TestSoak")

// manyDaemons is the number of daemons of the large soak, in two data centres. With so many,
// most daemons do not probe a given host but learn of it from another daemon.
const manyDaemons = 18

// soakRun is one run of the fault soak.
type soakRun struct {
	seed    uint64
	daemons int
}

// TestSoak makes short runs of the fault soak: three seeds with the default number of daemons, the third
// with series of planned work, one of them also with many daemons, and every run that ever found a fault.
// To run more seeds use rhubarbstub soak.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	defaultDaemons := soak.Defaults().Daemons
	runs := []soakRun{{1, defaultDaemons}, {2, defaultDaemons}, {2, manyDaemons}, {4, defaultDaemons}}
	runs = append(runs, regressionRuns(t, defaultDaemons)...)
	for _, run := range runs {
		seed := run.seed
		t.Run(fmt.Sprintf("%d with %d", seed, run.daemons), func(t *testing.T) {
			t.Parallel()
			set := soak.Defaults()
			set.Seed, set.Daemons = seed, run.daemons
			report := runSoak(t, set)
			require.NotZero(t, report.Calls["chat 200"])
			require.NotZero(t, report.Runs)
		})
	}
}

// runSoak runs the soak with the daemon of this tree, for soakDuration. Findings fail the test and keep the logs.
func runSoak(t *testing.T, set soak.Settings) soak.Report {
	require.NoError(t, os.MkdirAll(*soakLogs, 0o700))
	set.Program, set.Length, set.Logs = filepath.Join(binaryDir, "rhubarbswitchd"), *soakDuration, *soakLogs
	report, err := soak.Run(t.Context(), set)
	require.NoError(t, err)
	for _, f := range report.Findings {
		t.Errorf("seed %d, %s: %s: %s", set.Seed, f.At, f.Promise, f.Detail)
	}
	if len(report.Findings) > 0 {
		excerpts, err := soak.Excerpts(report)
		require.NoError(t, err)
		t.Logf("whole logs, plan and report: %s\n%s", report.Logs, excerpts)
	}
	return report
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
