package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/demo"
)

type demoCommand struct{}

// Run runs the demo with the programs in the folder of this one.
func (demoCommand) Run() error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the folder of this program")
	}
	return demo.Run(context.Background(), filepath.Dir(self), os.Stdout)
}
