// Command processes measures the cost of idle daemons. It runs them as separate processes on
// loopback, without any requests, and prints for each number of daemons and hosts the CPU
// time, memory, link traffic and platform calls of the control work.
package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/test/measure/lab"
)

const (
	membersPerGroup = 8
	hostsPerDomain  = 16 // two groups, no spare
	// ticksPerSecond is the unit of CPU time in /proc.
	ticksPerSecond = 100
	// servingTimeout is the longest wait until all daemons see all groups serve. The
	// measurement fails when it expires.
	servingTimeout = 60 * time.Second
)

// command holds the flags.
type command struct {
	Bin     string        `help:"Folder of the programs." default:"bin"`
	Daemons []int         `help:"Numbers of daemons." default:"9,20,40"`
	Hosts   []int         `help:"Numbers of hosts." default:"48,96"`
	For     time.Duration `help:"Time measured." default:"15s"`
}

func main() {
	var c command
	ctx := kong.Parse(&c)
	ctx.FatalIfErrorf(c.run())
}

func (c *command) run() error {
	fmt.Println("| daemons | hosts | core, % a daemon | memory, MB | links out, KB/s | messages out/s | platform calls/s, all |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, hosts := range c.Hosts {
		for _, daemons := range c.Daemons {
			if err := c.measure(daemons, hosts); err != nil {
				return err
			}
		}
	}
	return nil
}

// sample is what all daemons together have used so far.
type sample struct {
	cpu       time.Duration
	memoryMiB float64 // resident, in MiB
	bytes     float64 // sent on the links
	messages  float64 // sent on the links
}

// measure starts a stub platform, engines and the daemons, waits until every group serves,
// and prints one row of the table.
func (c *command) measure(daemons, hosts int) error {
	l, err := lab.New(0)
	if err != nil {
		return err
	}
	defer l.Close()
	m := object.Model{
		Members: membersPerGroup, Groups: hosts / hostsPerDomain * (hostsPerDomain / membersPerGroup),
		Weights: "w", ColdLimit: 4, WarmLimit: 64, WarmAfter: 8,
	}
	if err := l.AddEngines(hosts, hostsPerDomain, false, m, engine.Options{PollInterval: time.Second, PrefixCacheSize: 16}); err != nil {
		return err
	}
	var running []*exec.Cmd
	defer func() {
		for _, cmd := range running {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}()
	var operators []string
	for i := range daemons {
		file, address, err := l.WriteSettings(i)
		if err != nil {
			return err
		}
		cmd := exec.Command(filepath.Join(c.Bin, "rhubarbswitchd"), file)
		if err := cmd.Start(); err != nil {
			return errors.Wrap(err, "start the daemon: run 'make build' first")
		}
		running = append(running, cmd)
		operators = append(operators, address)
	}
	if err := awaitServing(operators, daemons, m.Groups); err != nil {
		return err
	}
	return c.report(l, running, operators, hosts)
}

// awaitServing waits until every daemon lists every other and sees every group serve.
func awaitServing(operators []string, daemons, groups int) error {
	last := operatorapi.Status{}
	for end := time.Now().Add(servingTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		up := 0
		for _, address := range operators {
			var s operatorapi.Status
			if lab.GetJSON("http://"+address+operatorapi.PathStatus, &s) == nil && serving(s) >= groups && len(s.Daemons) == daemons {
				up++
				continue
			}
			last = s
		}
		if up == len(operators) {
			return nil
		}
	}
	return errors.Errorf("the daemons did not serve within %s: %s sees %d daemons and %d of %d groups serve",
		servingTimeout, last.Daemon, len(last.Daemons), serving(last), groups)
}

// serving counts the groups that serve.
func serving(s operatorapi.Status) int {
	n := 0
	for _, g := range s.Groups {
		if g.Serving {
			n++
		}
	}
	return n
}

// report samples the daemons before and after the measured time and prints the row. It first
// waits 2 s, so that the start-up work has ended.
func (c *command) report(l *lab.Lab, running []*exec.Cmd, operators []string, hosts int) error {
	time.Sleep(2 * time.Second)
	before, err := takeSample(running, operators)
	if err != nil {
		return err
	}
	calls := l.Platform.Stats()
	began := time.Now()
	time.Sleep(c.For)
	after, err := takeSample(running, operators)
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	end := l.Platform.Stats()
	n := float64(len(running))
	all := float64(end.Reads + end.Writes + end.Watches - calls.Reads - calls.Writes - calls.Watches)
	fmt.Printf("| %d | %d | %.2f | %.1f | %.2f | %.1f | %.1f |\n", len(running), hosts,
		100*(after.cpu-before.cpu).Seconds()/seconds/n, after.memoryMiB/n,
		(after.bytes-before.bytes)/seconds/n/1000, (after.messages-before.messages)/seconds/n, all/seconds)
	return nil
}

// takeSample sums up what all daemons have used so far.
func takeSample(running []*exec.Cmd, operators []string) (sample, error) {
	var sum sample
	for i, cmd := range running {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
		if err != nil {
			return sum, errors.Wrap(err, "read the process's times")
		}
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		for _, at := range []int{11, 12} { // user and system time
			ticks, err := strconv.ParseInt(fields[at], 10, 64)
			if err != nil {
				return sum, errors.Wrap(err, "read the process's times")
			}
			sum.cpu += time.Duration(ticks) * time.Second / ticksPerSecond
		}
		pages, err := strconv.ParseInt(fields[21], 10, 64)
		if err != nil {
			return sum, errors.Wrap(err, "read the process's memory")
		}
		sum.memoryMiB += float64(pages) * float64(os.Getpagesize()) / (1 << 20)
		if err := sum.addLinkTraffic(operators[i]); err != nil {
			return sum, err
		}
	}
	return sum, nil
}

// addLinkTraffic adds the bytes and messages that a daemon has sent to others, as its
// metrics report them.
func (s *sample) addLinkTraffic(operators string) error {
	resp, err := http.Get("http://" + operators + operatorapi.PathMetrics)
	if err != nil {
		return errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || !strings.Contains(name, `direction="out"`) {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch {
		case strings.HasPrefix(name, "rhubarbswitch_peer_bytes_total"):
			s.bytes += v
		case strings.HasPrefix(name, "rhubarbswitch_peer_messages_total"):
			s.messages += v
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read metrics")
	}
	return nil
}
