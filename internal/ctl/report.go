package ctl

import (
	"encoding/json"
	"strings"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/render"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

type reportCommands struct {
	Account reportAccount `cmd:"" help:"Report what customers used in a month: settled, open and uncertain."`
}

type reportAccount struct {
	Customer string `arg:"" optional:"" help:"Only this customer."`
	Month    string `help:"Only this month, as YYYY-MM (UTC)." placeholder:"YYYY-MM"`
}

// accountRow is the usage of one customer in one month.
type accountRow struct {
	Customer string       `json:"customer"`
	Month    string       `json:"month"` // YYYY-MM, UTC
	Settled  object.Usage `json:"settled"`
	// Open is the sum of the slices: what daemons have reserved and not settled yet.
	Open object.Usage `json:"open"`
	// Uncertain is the sum of the slices that were open at daemons that died: an upper bound on
	// what they used.
	Uncertain object.Usage `json:"uncertain"`
	Total     object.Usage `json:"total"`  // Settled, Open and Uncertain together
	Slices    int          `json:"slices"` // number of open slices
}

// Run reports the accounts as stored in the platform.
func (c *reportAccount) Run(env *Env) error {
	items, err := env.Backend.List(env.Context, object.KindAccount)
	if err != nil {
		return err
	}
	rows := []accountRow{}
	for _, o := range items {
		row, err := accountRowOf(o.Name, o.Value)
		if err != nil {
			return err
		}
		if (c.Customer == "" || c.Customer == row.Customer) && (c.Month == "" || c.Month == row.Month) {
			rows = append(rows, row)
		}
	}
	return env.Print(rows, func() *render.Table { return accountTable(rows) })
}

// accountRowOf converts an account object, whose name is CUSTOMER.YYYY-MM, to a row.
func accountRowOf(name string, value []byte) (accountRow, error) {
	var account object.Account
	if err := json.Unmarshal(value, &account); err != nil {
		return accountRow{}, err
	}
	cut := max(strings.LastIndexByte(name, '.'), 0)
	row := accountRow{
		Customer: name[:cut], Month: strings.TrimPrefix(name[cut:], "."),
		Settled: account.Settled, Uncertain: account.Uncertain, Slices: len(account.Slices),
	}
	for _, slice := range account.Slices {
		row.Open.Requests += slice.Requests
		row.Open.Tokens += slice.Tokens
	}
	for _, u := range []object.Usage{row.Settled, row.Open, row.Uncertain} {
		row.Total.Requests += u.Requests
		row.Total.Tokens += u.Tokens
		row.Total.Unknown += u.Unknown
		row.Total.NotRun += u.NotRun
	}
	return row, nil
}

func accountTable(rows []accountRow) *render.Table {
	t := &render.Table{Header: []string{
		"CUSTOMER", "MONTH", "SETTLED REQUESTS", "SETTLED TOKENS", "OPEN REQUESTS", "OPEN TOKENS",
		"UNCERTAIN REQUESTS", "UNCERTAIN TOKENS", "TOTAL REQUESTS", "TOTAL TOKENS", "UNKNOWN", "NOT RUN",
	}}
	for _, r := range rows {
		t.Add(r.Customer, r.Month, r.Settled.Requests, r.Settled.Tokens, r.Open.Requests, r.Open.Tokens,
			r.Uncertain.Requests, r.Uncertain.Tokens, r.Total.Requests, r.Total.Tokens, r.Total.Unknown, r.Total.NotRun)
	}
	return t
}
