package main

import (
	"fmt"
	"os"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

type cutterCommand struct {
	Listen  string `help:"Address to relay from; port 0 takes a free one." default:"127.0.0.1:0"`
	To      string `help:"Address to relay to." required:""`
	Control string `help:"Address of the control interface; printed on the second line." default:"127.0.0.1:0"`
}

// Run relays connections until it receives a signal. It prints its address first.
func (c *cutterCommand) Run() error {
	relay, err := cutter.Open(c.Listen, c.To)
	if err != nil {
		return err
	}
	defer relay.Close()
	fmt.Println(relay.Address())
	return serve.Run(os.Stdout, c.Control, relay.Handler(), serve.Hooks{})
}
