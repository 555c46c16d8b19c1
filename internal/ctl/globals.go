package ctl

import (
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/backend"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/tlsreload"
)

// EnvOperatorKey is the environment variable with the operator key. It is used if no key file
// is given.
const EnvOperatorKey = "RHUBARB_OPERATOR_KEY"

// Globals are the flags that every command has.
type Globals struct {
	Daemon          []string      `help:"Base URL of a daemon's operators' interface; give several to have them tried in order." env:"RHUBARB_DAEMON" placeholder:"URL"`
	Platform        string        `help:"Base URL of the platform, used if no daemon answers." env:"RHUBARB_PLATFORM" placeholder:"URL"`
	OperatorKeyFile string        `help:"File with the operator key. Without it the key is taken from the environment variable RHUBARB_OPERATOR_KEY." env:"RHUBARB_OPERATOR_KEY_FILE" placeholder:"FILE"`
	CA              string        `help:"PEM file of the authorities that daemons' certificates must come from." env:"RHUBARB_CA" placeholder:"FILE"`
	CallTimeout     time.Duration `help:"Longest time for one call." default:"10s"`
	Output          string        `help:"How results are written: ${enum}." short:"o" enum:"table,json,csv" default:"table"`
}

// backend returns a backend that tries the daemons in the order given, and then the platform.
func (g *Globals) backend(env *Env) (backend.Backend, error) {
	key, err := g.operatorKey()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := tlsreload.DialConfig(g.CA)
	if err != nil {
		return nil, err
	}
	var backends []backend.Backend
	for _, address := range g.Daemon {
		d, err := backend.NewDaemon(address, key, tlsConfig, g.CallTimeout)
		if err != nil {
			return nil, usageError(err)
		}
		backends = append(backends, d)
	}
	if g.Platform != "" {
		backends = append(backends, backend.NewPlatform(g.Platform, platform.WithCallTimeout(g.CallTimeout)))
	}
	return backend.NewFallback(func(text string) { env.Notef("%s", text) }, backends...), nil
}

func (g *Globals) operatorKey() (string, error) {
	if g.OperatorKeyFile == "" {
		return strings.TrimSpace(os.Getenv(EnvOperatorKey)), nil
	}
	key, err := config.Secret{File: g.OperatorKeyFile}.Read()
	if err != nil {
		return "", errors.Wrap(err, "operator key")
	}
	return string(key), nil
}
