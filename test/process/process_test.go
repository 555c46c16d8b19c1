package process

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/program"
)

const (
	// waitTimeout is the longest wait for a condition or for the end of a process. The
	// test fails when it expires.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// maxLogBytes is how many bytes of a process's log a failed test prints.
	maxLogBytes = 6 << 10
)

// binaryDir is the directory that holds the programs under test. TestMain builds them
// into it once for all tests.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rhubarbswitch-process")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryDir = dir
	flag.Parse()
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if *baseline {
		args = append(args, "-tags", "baseline")
	}
	if raceEnabled {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../../cmd/rhubarbstub", "../../cmd/rhubarbswitchd")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// process is a started program. The test's cleanup kills it and fails the test if its
// log contains a data race or a panic.
type process struct {
	*program.Process
	t       *testing.T
	name    string
	logPath string        // path of the file that receives its standard error
	stdout  *bufio.Reader // its standard output
}

// spawn starts a program from binaryDir and registers its cleanup.
func spawn(t *testing.T, name, binary string, args ...string) *process {
	t.Helper()
	logFile, err := os.CreateTemp(t.TempDir(), name+"-*.log")
	require.NoError(t, err)
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	p := &process{t: t, name: name, logPath: logFile.Name(), stdout: bufio.NewReader(reader)}
	p.Process, err = program.Start(writer, logFile, filepath.Join(binaryDir, binary), args...)
	require.NoError(t, err)
	_ = writer.Close()
	_ = logFile.Close()
	t.Cleanup(func() {
		p.kill()
		_ = reader.Close()
		p.checkLog()
	})
	return p
}

// readLine returns the next line of standard output, where a stub prints its address.
func (p *process) readLine() string {
	p.t.Helper()
	text, err := p.stdout.ReadString('\n')
	require.NoError(p.t, err, "%s printed no address; its log: %s", p.name, p.logTail())
	return strings.TrimSpace(text)
}

func (p *process) signal(s syscall.Signal) { p.Signal(s) }
func (p *process) kill()                   { p.Kill() }
func (p *process) pause()                  { p.Signal(syscall.SIGSTOP) }
func (p *process) resume()                 { p.Signal(syscall.SIGCONT) }
func (p *process) terminate()              { p.Signal(syscall.SIGTERM) }

// waitExit waits for the process to exit and returns its exit code. The test fails if
// the process still runs after the timeout.
func (p *process) waitExit(timeout time.Duration) int {
	p.t.Helper()
	select {
	case <-p.Ended():
		return p.ExitCode()
	case <-time.After(timeout):
		require.Fail(p.t, "process still runs", "%s did not exit within %s; its log: %s", p.name, timeout, p.logTail())
		return -1
	}
}

func (p *process) hasExited() bool {
	select {
	case <-p.Ended():
		return true
	default:
		return false
	}
}

// logTail returns the last maxLogBytes of the log.
func (p *process) logTail() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxLogBytes):])
}

// checkLog fails the test if the log contains a data race, a panic or a fatal error.
func (p *process) checkLog() {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return
	}
	for _, mark := range []string{"DATA RACE", "panic:", "fatal error:"} {
		if i := bytes.Index(text, []byte(mark)); i >= 0 {
			p.t.Errorf("%s: %s", p.name, text[i:min(len(text), i+maxLogBytes)])
			return
		}
	}
}

// waitUntil polls a condition until it holds. The test fails after waitTimeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			require.Fail(t, "timed out", "condition not reached: %s, within %s", what, waitTimeout)
		case <-time.After(pollInterval):
		}
	}
}
