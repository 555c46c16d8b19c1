package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// The files that a run with findings leaves beside the settings and whole logs of its daemons.
const (
	// planFile has a line for the begin and the end of each disturbance, one for each start and
	// requested end of a daemon's process, and those from and to which the checker excuses a scope.
	planFile = "plan.jsonl"
	// requestsFile has a line for each request that did not end with a complete 200, and runsFile one
	// for each run at a server.
	requestsFile, runsFile = "requests.jsonl", "runs.jsonl"
	reportFile             = "report.json"
	// excerptsFile has the findings, each with the lines of the daemons' logs that belong to it.
	excerptsFile = "findings.txt"
)

const (
	// excerptWindow is how long before and after the moment of a finding log lines belong to it.
	// maxExcerptLines bounds those without the ID of its request.
	excerptWindow   = 250 * time.Millisecond
	maxExcerptLines = 80
)

// planLine is a line of planFile.
type planLine struct {
	At    time.Time `json:"at"`
	Phase string    `json:"phase"`
	Kind  Kind      `json:"kind,omitempty"`
	// Scope is what is disturbed. Duration is how long the disturbance is planned to last.
	Scope    string        `json:"scope"`
	Duration time.Duration `json:"nanos,omitempty"`
	Pick     uint64        `json:"pick,omitempty"`
}

// planWriter writes planFile. The first error is kept for Close.
type planWriter struct {
	mu   sync.Mutex
	file *os.File
	err  error
}

func newPlanWriter(dir string) (*planWriter, error) {
	file, err := os.Create(filepath.Join(dir, planFile))
	if err != nil {
		return nil, errors.Wrap(err, "create the file of the plan")
	}
	return &planWriter{file: file}, nil
}

func (w *planWriter) add(line planLine) {
	line.At = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := json.NewEncoder(w.file).Encode(line); err != nil && w.err == nil {
		w.err = err
	}
}

func (w *planWriter) close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.err, w.file.Close())
}

// scopeOf describes what a disturbance is about to disturb.
func (r *run) scopeOf(f Fault) string {
	kind := string(f.Kind)
	switch {
	case strings.HasPrefix(kind, "links-"):
		var names []string
		for _, d := range r.cutOff(f.Pick) {
			names = append(names, d.name)
		}
		return strings.Join(names, " ")
	case slices.Contains([]Kind{HolderPause, HolderKills}, f.Kind):
		return "lease holder"
	case slices.Contains([]Kind{ZoneHidden, GroupHidden, OrdersLong, OrdersSlow, EnginesStill, PlainRefusing}, f.Kind):
		return "servers"
	case f.Kind == DaemonHerd || f.Kind == PlannedSeries:
		return "daemons"
	case strings.HasPrefix(kind, "daemon-"), strings.HasPrefix(kind, "callers-"),
		slices.Contains([]Kind{StoreReset, StoreDelay, StoreSilent, StoreOneWay}, f.Kind):
		return r.pickDaemon(f).name
	case strings.HasPrefix(kind, "server-"), f.Kind == OrdersLate:
		return r.pickServer(f).ID
	case strings.HasPrefix(kind, "store-"):
		return "store"
	case strings.HasPrefix(kind, "config-"):
		return "configuration"
	}
	return "site"
}

// requestLine is a line of requestsFile.
type requestLine struct {
	ID             string    `json:"id"`
	Daemon         int       `json:"daemon"`
	Incarnation    int       `json:"incarnation"`
	SentAt         time.Time `json:"sentAt"`
	WrittenAt      time.Time `json:"writtenAt,omitzero"`
	EndedAt        time.Time `json:"endedAt,omitzero"`
	DisconnectedAt time.Time `json:"disconnectedAt,omitzero"`
	KeptConnection bool      `json:"keptConnection"`
	Status         int       `json:"status"`
	Complete       bool      `json:"complete"`
	Error          string    `json:"error,omitempty"`
}

func (k *checker) requestLines() []requestLine {
	k.mu.Lock()
	defer k.mu.Unlock()
	var lines []requestLine
	for _, c := range k.calls {
		if c.Answer.Complete && c.Answer.Status == 200 {
			continue
		}
		line := requestLine{
			ID: c.ID, Daemon: c.Daemon, Incarnation: c.Incarnation, SentAt: c.SentAt, WrittenAt: c.Answer.WrittenAt, EndedAt: c.EndedAt,
			DisconnectedAt: c.DisconnectedAt, KeptConnection: c.Answer.KeptConnection, Status: c.Answer.Status, Complete: c.Answer.Complete,
		}
		if c.Answer.Err != nil {
			line.Error = c.Answer.Err.Error()
		}
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b requestLine) int { return a.SentAt.Compare(b.SentAt) })
	return lines
}

// keepRecords writes the files of a run with findings.
func (r *run) keepRecords(report Report) error {
	if err := writeLines(filepath.Join(r.dir, requestsFile), r.checker.requestLines()); err != nil {
		return err
	}
	if err := writeLines(filepath.Join(r.dir, runsFile), r.site.Runs()); err != nil {
		return err
	}
	if err := writeLines(filepath.Join(r.dir, reportFile), []Report{report}); err != nil {
		return err
	}
	excerpts, err := Excerpts(report)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.dir, excerptsFile), []byte(excerpts), 0o600); err != nil {
		return errors.Wrap(err, "write the excerpts")
	}
	return nil
}

func writeLines[T any](path string, lines []T) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create a file of the run")
	}
	text := bufio.NewWriter(file)
	encoder := json.NewEncoder(text)
	for _, line := range lines {
		if err := encoder.Encode(line); err != nil {
			_ = file.Close()
			return errors.Wrapf(err, "write %s", path)
		}
	}
	return errors.Join(text.Flush(), file.Close())
}

// logLine is a line of a daemon's log.
type logLine struct {
	at           time.Time
	daemon, text string
}

// Excerpts returns the findings of a report, each with the lines of the plan and of all daemons' logs
// around its moment, and those with its request's ID at any time.
func Excerpts(report Report) (string, error) {
	paths, err := filepath.Glob(filepath.Join(report.Logs, "*.log"))
	if err != nil {
		return "", errors.Wrap(err, "find the logs")
	}
	var lines []logLine
	for _, path := range append(paths, filepath.Join(report.Logs, planFile), filepath.Join(report.Logs, runsFile)) {
		read, err := readLog(path)
		if err != nil {
			return "", err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var text strings.Builder
	for _, f := range report.Findings {
		fmt.Fprintf(&text, "seed %d, %s: %s: %s\nat %s, in %s:\n", report.Seed, f.At, f.Promise, f.Detail, f.Moment.UTC().Format(time.RFC3339Nano), report.Logs)
		writeExcerpt(&text, f, lines)
	}
	return text.String(), nil
}

// writeExcerpt writes the lines that belong to a finding.
func writeExcerpt(text *strings.Builder, f Finding, lines []logLine) {
	others := 0
	for _, line := range lines {
		own := f.Request != "" && strings.Contains(line.text, `"`+f.Request+`"`)
		if !own {
			if line.at.Before(f.Moment.Add(-excerptWindow)) || line.at.After(f.Moment.Add(excerptWindow)) {
				continue
			}
			if others++; others > maxExcerptLines {
				continue
			}
		}
		fmt.Fprintf(text, "  %s: %s\n", line.daemon, line.text)
	}
	if others > maxExcerptLines {
		fmt.Fprintf(text, "  and %d more lines within %s\n", others-maxExcerptLines, excerptWindow)
	}
}

// readLog reads the lines of a file that have a time. The others, such as those of a panic, belong to
// the time before them.
func readLog(path string) ([]logLine, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read a log")
	}
	name := strings.TrimSuffix(strings.TrimSuffix(filepath.Base(path), ".log"), ".jsonl")
	var lines []logLine
	var last time.Time
	for line := range strings.Lines(string(text)) {
		var head struct{ Time, At, StartedAt time.Time }
		if json.Unmarshal([]byte(line), &head) == nil {
			for _, at := range []time.Time{head.Time, head.At, head.StartedAt} {
				if !at.IsZero() {
					last = at
					break
				}
			}
		}
		lines = append(lines, logLine{last, name, strings.TrimSuffix(line, "\n")})
	}
	return lines, nil
}
