// Package demo runs the whole path once, thin, as separate processes on loopback:
// the platform, a group of two engines, a plain service and two daemons.
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
	// patience bounds each wait for the processes to come up.
	patience = 30 * time.Second
	poll     = 100 * time.Millisecond
)

// Demo holds the processes of one run.
type Demo struct {
	out     io.Writer
	bin     string // folder of the programs
	dir     string // folder of settings and objects
	started []*exec.Cmd
	daemons []daemon
}

type daemon struct {
	cmd       *exec.Cmd
	callers   string
	operators string
}

// Run runs the demo with the programs in a folder and writes what happens to out.
func Run(ctx context.Context, bin string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "rhubarbswitch-demo-")
	if err != nil {
		return errors.Wrap(err, "make a folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(ctx, 2*patience)
	defer cancel()
	d := &Demo{out: out, bin: bin, dir: dir}
	defer d.killAll()
	return d.run(ctx)
}

func (d *Demo) run(ctx context.Context) error {
	d.say("starting the platform, two engines, a plain service and two daemons")
	if err := d.start(); err != nil {
		return err
	}
	if err := d.apply(ctx); err != nil {
		return err
	}
	if err := d.calls(ctx); err != nil {
		return err
	}
	if err := d.control(ctx, "report", "account", customer); err != nil {
		return err
	}
	return d.stop()
}

func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "== "+format+"\n", args...)
}

// start starts every process.
func (d *Demo) start() error {
	var hosts platformapi.HostList
	for _, name := range []string{"host-a", "host-b"} {
		address, err := d.stub("engine", "--host", name, "--cold-limit", "4")
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
	platform, err := d.stub("platform", "--hosts", file)
	if err != nil {
		return err
	}
	plain, err := d.stub("service", "--host", "host-c")
	if err != nil {
		return err
	}
	if err := d.writeObjects(plain); err != nil {
		return err
	}
	for _, name := range []string{"daemon-1", "daemon-2"} {
		if err := d.daemon(name, platform); err != nil {
			return err
		}
	}
	return nil
}

// stub starts a stand-in and returns the address that it prints.
func (d *Demo) stub(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(d.bin, "rhubarbstub"), args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return "", errors.Wrap(err, "pipe")
	}
	if err := cmd.Start(); err != nil {
		return "", errors.Wrap(err, "start the stand-in: run 'make build' first")
	}
	d.started = append(d.started, cmd)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return "", errors.Wrap(err, "read the stand-in's address")
	}
	return strings.TrimSpace(line), nil
}

func (d *Demo) daemon(name, platform string) error {
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
	cmd := exec.Command(filepath.Join(d.bin, "rhubarbswitchd"), file)
	cmd.Env = append(os.Environ(), "RHUBARB_PEER_KEY=the demo's daemons share this key")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start the daemon: run 'make build' first")
	}
	d.started = append(d.started, cmd)
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

// apply writes the configuration through rhubarbctl and waits until it is in force
// and the group serves.
func (d *Demo) apply(ctx context.Context) error {
	for _, daemon := range d.daemons {
		if err := d.await(ctx, "a daemon's readiness", func() bool { return status(ctx, daemon.operators, operatorapi.PathReady) }); err != nil {
			return err
		}
	}
	if err := d.control(ctx, "apply", "--wait", filepath.Join(d.dir, "objects.json")); err != nil {
		return err
	}
	return d.await(ctx, "the group to form", func() bool {
		var s operatorapi.Status
		if err := getJSON(ctx, "http://"+d.daemons[0].operators+operatorapi.PathStatus, &s); err != nil {
			return false
		}
		return len(s.Groups) == 1 && s.Groups[0].Serving && len(s.Services) == 1 && s.Services[0].Serving
	})
}

func (d *Demo) await(ctx context.Context, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Errorf("waited %s for %s: see the daemons' messages above", patience, what)
		case <-time.After(poll):
		}
	}
	return nil
}

// control runs rhubarbctl through the first daemon.
func (d *Demo) control(ctx context.Context, args ...string) error {
	d.say("rhubarbctl %s", strings.ReplaceAll(strings.Join(args, " "), d.dir+string(os.PathSeparator), ""))
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "rhubarbctl"), args...)
	cmd.Env = append(os.Environ(), "RHUBARB_DAEMON=http://"+d.daemons[0].operators)
	var out bytes.Buffer
	cmd.Stdout = io.MultiWriter(d.out, &out)
	cmd.Stderr = d.out
	if err := cmd.Run(); err != nil {
		return errors.Wrapf(err, "rhubarbctl %s", args[0])
	}
	return nil
}

// calls makes the two calls through different daemons.
func (d *Demo) calls(ctx context.Context) error {
	key, err := d.createCustomer(ctx)
	if err != nil {
		return err
	}
	d.say("a streamed chat completion through daemon-1")
	chat := fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": 4, "messages": [{"role": "user", "content": "hello"}]}`, model)
	if err := d.call(ctx, d.daemons[0], "/v1/chat/completions", chat, key, ""); err != nil {
		return err
	}
	once, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "mint a key")
	}
	d.say("a keyed call that must run at most once through daemon-2, and the same key again through daemon-1")
	if err := d.call(ctx, d.daemons[1], "/v1/services/"+service+"/entries", `{"weight": 12}`, key, once.String()); err != nil {
		return err
	}
	return d.call(ctx, d.daemons[0], "/v1/services/"+service+"/entries", `{"weight": 12}`, key, once.String())
}

// createCustomer writes the contract and returns the customer's key.
func (d *Demo) createCustomer(ctx context.Context) (string, error) {
	d.say("rhubarbctl customer create %s", customer)
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "rhubarbctl"), "customer", "create", customer,
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

// call sends one request and prints the whole answer with its outcome.
func (d *Demo) call(ctx context.Context, to daemon, path, body, key, once string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+path, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if once != "" {
		req.Header.Set("Idempotency-Key", once)
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

// stop stops the daemons gracefully and the stand-ins after them.
func (d *Demo) stop() error {
	d.say("stopping the daemons gracefully")
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
	d.say("done")
	return nil
}

// killAll ends what this run started and still runs.
func (d *Demo) killAll() {
	for _, cmd := range d.started {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
}

func status(ctx context.Context, address, path string) bool {
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
