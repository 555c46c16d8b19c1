// Command rhubarbstub contains the test programs of rhubarbswitch: stubs of the platform, of
// model engines and of plain services, a TCP relay that cuts connections, a load generator,
// and a soak test that injects faults.
package main

import (
	"encoding/json"
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

type commands struct {
	Demo     demoCommand     `cmd:"" help:"Run the whole path once, as separate processes on loopback."`
	Platform platformCommand `cmd:"" help:"Stand in for the platform's object API and host list."`
	Engine   engineCommand   `cmd:"" help:"Stand in for a model engine."`
	Service  serviceCommand  `cmd:"" help:"Stand in for a plain service."`
	Cutter   cutterCommand   `cmd:"" help:"Relay TCP connections and cut them as told."`
	Load     loadCommand     `cmd:"" help:"Send bounded load to daemons and report on the answers."`
	Soak     soakCommand     `cmd:"" help:"Disturb gateway daemons at random, as processes, and check what callers and servers see."`
}

type platformCommand struct {
	Listen  string `help:"Address to listen on; port 0 takes a free one." default:"127.0.0.1:0"`
	Hosts   string `help:"File with the host list as JSON." type:"existingfile"`
	History int    `help:"Changes kept for watches." default:"10000"`
	Seed    uint64 `help:"Seed of the draw of lost answers." default:"1"`
}

// Run serves the stub of the platform until it receives a signal.
func (c *platformCommand) Run() error {
	hosts, err := readHosts(c.Hosts)
	if err != nil {
		return err
	}
	stub := platform.New(platform.Options{Hosts: hosts, History: c.History, Seed: c.Seed})
	return serve.Run(os.Stdout, c.Listen, stub.Handler(), serve.Hooks{})
}

// readHosts reads a host list from a JSON file. Without a path the list is empty.
func readHosts(path string) ([]platformapi.Host, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the host list")
	}
	var list platformapi.HostList
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, errors.Wrap(err, "decode the host list")
	}
	return list.Hosts, nil
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("rhubarbstub"), kong.Description("Stand-ins for tests of rhubarbswitch."), kong.Vars(soakHelp()))
	parsed.FatalIfErrorf(parsed.Run())
}
