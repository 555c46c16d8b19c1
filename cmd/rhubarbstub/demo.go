package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/demo"
)

type demoCommand struct{}

// Run runs the demo with the programs beside this one.
func (demoCommand) Run() error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the programs")
	}
	return demo.Run(context.Background(), filepath.Dir(self), os.Stdout)
}
