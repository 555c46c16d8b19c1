package ctl

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/render"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	keyPrefix = "rsw_" // marks a string as a key of rhubarbswitch
	keyBytes  = 32     // random bytes in a key
)

type customerCommands struct {
	Create    customerCreate    `cmd:"" help:"Create a customer's contract with a new key, shown once."`
	RotateKey customerRotateKey `cmd:"" help:"Give a customer a new key, shown once; the newest old key stays valid."`
}

// issuedKey is a new key of a customer. It is shown once; only its hash is stored.
type issuedKey struct {
	Customer string         `json:"customer"`
	Key      string         `json:"key"`
	Version  object.Version `json:"version"`
}

func (i issuedKey) print(env *Env) error {
	if env.Output == render.FormatJSON {
		return render.JSON(env.Out, i)
	}
	env.Notef("version %d accepted; this key is not kept anywhere, hand it to the customer now:", i.Version)
	_, err := fmt.Fprintln(env.Out, i.Key)
	return err
}

// newKey returns a random bearer key and its hash in the form used in contracts.
func newKey() (key, hash string) {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // never fails
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
	sum := sha256.Sum256([]byte(key))
	return key, hex.EncodeToString(sum[:])
}

// addLostKeyRemedy adds the remedy to the error of a write whose outcome is unknown: the new
// key may be in force although it was not shown to anybody.
func addLostKeyRemedy(customer string, err error) error {
	if err != nil && exitCodeOf(err) == ExitUnknown {
		err = errors.Wrapf(err, "the new key was not shown; once the platform answers, give another with rhubarbctl customer rotate-key %s --drop-old", customer)
	}
	return err
}

type customerCreate struct {
	Name              string   `arg:"" help:"Name of the customer."`
	Model             []string `help:"Model that the customer may reach; * for all."`
	Service           []string `help:"Service that the customer may reach; * for all."`
	Priority          int      `help:"Priority from 0 (lowest) to 9." default:"5"`
	Concurrency       int      `help:"Requests in flight over all daemons; 0 for no bound."`
	RequestsPerSecond float64  `help:"Requests a second; 0 for no bound."`
	TokensPerSecond   float64  `help:"Tokens a second; 0 for no bound."`
	RequestsPerMonth  int64    `help:"Requests a calendar month (UTC); 0 for no bound."`
	TokensPerMonth    int64    `help:"Tokens a calendar month (UTC); 0 for no bound."`
	OutageRule        string   `help:"What happens in an outage of the platform once the reserved allowance is spent: ${enum}." enum:"refuse,serve" default:"refuse"`
	WaitFlags
}

// Run creates the customer's contract. It is a conflict if the contract exists.
func (c *customerCreate) Run(env *Env) error {
	if err := object.CheckName(c.Name); err != nil {
		return withCode(ExitInvalid, err)
	}
	key, hash := newKey()
	contract := &object.Contract{
		KeyHashes: []string{hash}, Models: c.Model, Services: c.Service,
		Priority: c.Priority, Concurrency: c.Concurrency,
		RequestsPerSecond: c.RequestsPerSecond, TokensPerSecond: c.TokensPerSecond,
		RequestsPerMonth: c.RequestsPerMonth, TokensPerMonth: c.TokensPerMonth,
		OutageRule: object.OutageRule(c.OutageRule),
	}
	if len(c.Model)+len(c.Service) == 0 {
		env.Notef("the customer may reach nothing yet: add models or services to the contract")
	}
	version, err := writeObject(env, c.Name, 0, contract)
	if err != nil {
		return addLostKeyRemedy(c.Name, err)
	}
	if err := (issuedKey{Customer: c.Name, Key: key, Version: version}).print(env); err != nil {
		return err
	}
	return c.awaitInForce(env, version)
}

type customerRotateKey struct {
	Name    string `arg:"" help:"Name of the customer."`
	DropOld bool   `help:"Refuse every old key from now on."`
	WaitFlags
}

// Run adds a new key and keeps at most one old key valid.
func (c *customerRotateKey) Run(env *Env) error {
	contract := &object.Contract{}
	read, err := readObject(env, c.Name, contract)
	if err != nil {
		return err
	}
	if read == 0 {
		return failf(ExitNotFound, "customer %q has no contract: create it with rhubarbctl customer create", c.Name)
	}
	key, hash := newKey()
	oldHashes := contract.KeyHashes
	if c.DropOld {
		oldHashes = nil
	} else if len(oldHashes) > 1 {
		oldHashes = oldHashes[:1] // the newest key is first
	}
	contract.KeyHashes = append([]string{hash}, oldHashes...)
	version, err := writeObject(env, c.Name, read, contract)
	if err != nil {
		return addLostKeyRemedy(c.Name, err)
	}
	if err := (issuedKey{Customer: c.Name, Key: key, Version: version}).print(env); err != nil {
		return err
	}
	return c.awaitInForce(env, version)
}
