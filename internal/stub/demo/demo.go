// Package demo runs a short demonstration of the system with separate processes on loopback:
// the platform, two engines that form a group, a plain service and two daemons. It applies a
// configuration, creates a customer, sends a chat completion and keyed calls, prints the
// customer's account and stops the daemons.
package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/api/caller"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

const (
	dataCentre = "harbour"
	customer   = "example"
	model      = "writer"
	service    = "ledger"
	// startTimeout bounds each wait for the processes to serve; the whole run is bounded by
	// twice this time. The demo fails after either.
	startTimeout = 30 * time.Second
	// pollInterval is the interval between two checks of a condition that the demo waits for.
	pollInterval = 100 * time.Millisecond
)

// Demo is the state of one run.
type Demo struct {
	out       io.Writer
	programs  string // folder of the binaries
	dir       string // folder of the settings and objects files
	processes []*exec.Cmd
	daemons   []daemon
}

type daemon struct {
	cmd       *exec.Cmd
	callers   string // address for callers
	operators string // address for operators
}

// Run runs the demo with the binaries in a folder and prints its steps to out.
func Run(ctx context.Context, bin string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "rhubarbswitch-demo-")
	if err != nil {
		return errors.Wrap(err, "create the folder of the demo")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(ctx, 2*startTimeout)
	defer cancel()
	d := &Demo{out: out, programs: bin, dir: dir}
	defer d.killAll()
	return d.run(ctx)
}

func (d *Demo) run(ctx context.Context) error {
	d.printStep("starting the platform, two engines, a plain service and two daemons")
	if err := d.start(); err != nil {
		return err
	}
	if err := d.apply(ctx); err != nil {
		return err
	}
	if err := d.makeCalls(ctx); err != nil {
		return err
	}
	if err := d.runCtl(ctx, "report", "account", customer); err != nil {
		return err
	}
	return d.stop()
}

func (d *Demo) printStep(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "== "+format+"\n", args...)
}

// start starts all processes.
func (d *Demo) start() error {
	var hosts platformapi.HostList
	for _, name := range []string{"host-a", "host-b"} {
		address, err := d.startStub("engine", "--host", name, "--cold-limit", "4")
		if err != nil {
			return err
		}
		hosts.Hosts = append(hosts.Hosts, platformapi.Host{
			Name: name, Address: address, Domain: "rack-1", DataCentre: dataCentre, Accelerators: 4,
		})
	}
	file, err := d.writeJSON("hosts.json", hosts)
	if err != nil {
		return err
	}
	platform, err := d.startStub("platform", "--hosts", file)
	if err != nil {
		return err
	}
	plain, err := d.startStub("service", "--host", "host-c")
	if err != nil {
		return err
	}
	if err := d.writeObjects(plain); err != nil {
		return err
	}
	for _, name := range []string{"daemon-1", "daemon-2"} {
		if err := d.startDaemon(name, platform); err != nil {
			return err
		}
	}
	return nil
}

// startStub starts a stub and returns the address that it prints.
func (d *Demo) startStub(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(d.programs, "rhubarbstub"), args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return "", errors.Wrap(err, "pipe")
	}
	if err := cmd.Start(); err != nil {
		return "", errors.Wrap(err, "start the stub: run 'make build' first")
	}
	d.processes = append(d.processes, cmd)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return "", errors.Wrap(err, "read the stub's address")
	}
	return strings.TrimSpace(line), nil
}

// startDaemon starts a daemon on free loopback ports with the fewest settings that it needs.
func (d *Demo) startDaemon(name, platform string) error {
	var address [3]string
	for i := range address {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "find a port")
		}
		address[i] = l.Addr().String()
		_ = l.Close()
	}
	settings := fmt.Sprintf(`{
  // The least that a daemon needs; every other setting has a default.
  "cluster": "demo", "daemon": %q, "dataCentre": %q,
  "callers": {"listen": %q},
  "operators": {"listen": %q},
  "peers": {"listen": %q, "key": {"env": "RHUBARB_PEER_KEY"}},
  "platform": {"address": "http://%s"},
  "log": {"level": "warn", "format": "text"},
}`, name, dataCentre, address[0], address[1], address[2], platform)
	file := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	cmd := exec.Command(filepath.Join(d.programs, "rhubarbswitchd"), file)
	cmd.Env = append(os.Environ(), "RHUBARB_PEER_KEY=the demo's daemons share this key")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start the daemon: run 'make build' first")
	}
	d.processes = append(d.processes, cmd)
	d.daemons = append(d.daemons, daemon{cmd, address[0], address[1]})
	return nil
}

func (d *Demo) writeJSON(name string, v any) (string, error) {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encode")
	}
	file := filepath.Join(d.dir, name)
	return file, d.write(file, text)
}

func (d *Demo) writeObjects(plain string) error {
	objects := fmt.Sprintf(`[
  {"kind": "datacentre", "name": %q, "value": {"out": false}},
  {"kind": "model", "name": %q, "value": {"members": 2, "groups": 1, "weights": "writer-v1", "coldLimit": 4, "warmLimit": 16, "warmAfter": 8}},
  {"kind": "service", "name": %q, "value": {
    "targets": [{"host": "host-c", "address": %q, "dataCentre": %q}],
    "idempotent": [{"method": "GET", "prefix": "/"}], // a POST is never sent twice
    "coldLimit": 4, "warmLimit": 16, "warmAfter": 8}},
]`, dataCentre, model, service, plain, dataCentre)
	return d.write(filepath.Join(d.dir, "objects.json"), []byte(objects))
}

func (d *Demo) write(file string, text []byte) error {
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return errors.Wrap(err, "write")
	}
	return nil
}

// apply applies the objects with rhubarbctl, then waits until the group and the service serve.
func (d *Demo) apply(ctx context.Context) error {
	for _, daemon := range d.daemons {
		if err := d.waitFor(ctx, "a daemon's readiness", func() bool { return isOK(ctx, daemon.operators, operatorapi.PathReady) }); err != nil {
			return err
		}
	}
	if err := d.runCtl(ctx, "apply", "--wait", filepath.Join(d.dir, "objects.json")); err != nil {
		return err
	}
	return d.waitFor(ctx, "the group to form", func() bool {
		var s operatorapi.Status
		if err := getJSON(ctx, "http://"+d.daemons[0].operators+operatorapi.PathStatus, &s); err != nil {
			return false
		}
		return len(s.Groups) == 1 && s.Groups[0].Serving && len(s.Services) == 1 && s.Services[0].Serving
	})
}

// waitFor waits until a condition holds. It returns an error after startTimeout.
func (d *Demo) waitFor(ctx context.Context, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Errorf("timed out after %s waiting for %s: see the daemons' messages above", startTimeout, what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// runCtl runs rhubarbctl against the first daemon.
func (d *Demo) runCtl(ctx context.Context, args ...string) error {
	d.printStep("rhubarbctl %s", strings.ReplaceAll(strings.Join(args, " "), d.dir+string(os.PathSeparator), ""))
	cmd := exec.CommandContext(ctx, filepath.Join(d.programs, "rhubarbctl"), args...)
	cmd.Env = append(os.Environ(), "RHUBARB_DAEMON=http://"+d.daemons[0].operators)
	var out bytes.Buffer
	cmd.Stdout = io.MultiWriter(d.out, &out)
	cmd.Stderr = d.out
	if err := cmd.Run(); err != nil {
		return errors.Wrapf(err, "rhubarbctl %s", args[0])
	}
	return nil
}

// makeCalls creates the customer and sends a completion to the first daemon, a keyed call to
// the second one and the same keyed call again to the first one.
func (d *Demo) makeCalls(ctx context.Context) error {
	key, err := d.createCustomer(ctx)
	if err != nil {
		return err
	}
	d.printStep("a streamed chat completion through daemon-1")
	chat := fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": 4, "messages": [{"role": "user", "content": "hello"}]}`, model)
	if err := d.call(ctx, d.daemons[0], "/v1/chat/completions", chat, key, ""); err != nil {
		return err
	}
	idempotencyKey, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "create an idempotency key")
	}
	d.printStep("a keyed call that must run at most once through daemon-2, and the same key again through daemon-1")
	if err := d.call(ctx, d.daemons[1], "/v1/services/"+service+"/entries", `{"weight": 12}`, key, idempotencyKey.String()); err != nil {
		return err
	}
	return d.call(ctx, d.daemons[0], "/v1/services/"+service+"/entries", `{"weight": 12}`, key, idempotencyKey.String())
}

// createCustomer creates the customer's contract with rhubarbctl and returns the customer's
// key.
func (d *Demo) createCustomer(ctx context.Context) (string, error) {
	d.printStep("rhubarbctl customer create %s", customer)
	cmd := exec.CommandContext(ctx, filepath.Join(d.programs, "rhubarbctl"), "customer", "create", customer,
		"--model", model, "--service", service, "--wait", "-o", "json")
	cmd.Env = append(os.Environ(), "RHUBARB_DAEMON=http://"+d.daemons[0].operators)
	cmd.Stderr = d.out
	text, err := cmd.Output()
	if err != nil {
		return "", errors.Wrap(err, "rhubarbctl customer create")
	}
	var created struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(text, &created); err != nil {
		return "", errors.Wrap(err, "read the key")
	}
	return created.Key, nil
}

// call sends one request and prints the answer with its status and outcome.
func (d *Demo) call(ctx context.Context, to daemon, path, body, key, idempotencyKey string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+path, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	outcome := resp.Header.Get(caller.HeaderOutcome) + resp.Trailer.Get(caller.HeaderOutcome)
	_, _ = fmt.Fprintf(d.out, "%s\nstatus %d, outcome %s, request %s\n",
		bytes.TrimSpace(text), resp.StatusCode, outcome, resp.Header.Get(caller.HeaderRequestID))
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("answered with status %d", resp.StatusCode)
	}
	return nil
}

// stop stops the daemons with SIGTERM and waits for them.
func (d *Demo) stop() error {
	d.printStep("stopping the daemons gracefully")
	for _, daemon := range d.daemons {
		if err := daemon.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return errors.Wrap(err, "signal the daemon")
		}
	}
	for _, daemon := range d.daemons {
		if err := daemon.cmd.Wait(); err != nil {
			return errors.Wrap(err, "the daemon did not stop gracefully")
		}
	}
	d.printStep("done")
	return nil
}

// killAll kills the processes that are still running.
func (d *Demo) killAll() {
	for _, cmd := range d.processes {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
}

func isOK(ctx context.Context, address, path string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}
