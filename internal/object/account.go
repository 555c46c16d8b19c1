package object

// Account is what a customer has used in one month, and what daemons hold
// reserved of its allowance. Its name is "customer.YYYY-MM".
type Account struct {
	Settled Usage `json:"settled"`
	// Slices are open reservations by daemon incarnation.
	Slices map[string]Slice `json:"slices,omitempty"`
	// Uncertain is the bound left by daemons that died with a slice open.
	Uncertain Usage `json:"uncertain,omitzero"`
}

// Usage counts requests by outcome and tokens.
type Usage struct {
	Requests int64 `json:"requests"`
	Tokens   int64 `json:"tokens"`
	Unknown  int64 `json:"unknown,omitempty"` // requests whose outcome is unknown
	NotRun   int64 `json:"notRun,omitempty"`  // requests that were not run; not charged
}

// Slice is a daemon's open reservation.
type Slice struct {
	Daemon string `json:"daemon"`
	// Sequence rises with each settlement of this slice, so that a settlement whose
	// answer was lost is not applied twice.
	Sequence uint64 `json:"sequence"`
	Requests int64  `json:"requests"`
	Tokens   int64  `json:"tokens"`
}

// Kind returns KindAccount.
func (*Account) Kind() Kind { return KindAccount }
