package object

// Account records what a customer has used in one calendar month (UTC) and the parts of its
// allowance that daemons have reserved. Its name is "customer.YYYY-MM".
type Account struct {
	// Settled is the usage known for certain.
	Settled Usage `json:"settled"`
	// Slices are the open reservations by daemon incarnation.
	Slices map[string]Slice `json:"slices,omitempty"`
	// Uncertain is the sum of the slices that were open at daemons that died: an upper bound on
	// usage that those daemons did not settle.
	Uncertain Usage `json:"uncertain,omitzero"`
}

// Usage counts requests and tokens.
type Usage struct {
	Requests int64 `json:"requests"`
	Tokens   int64 `json:"tokens"`
	Unknown  int64 `json:"unknown,omitempty"` // requests whose outcome is unknown
	NotRun   int64 `json:"notRun,omitempty"`  // requests that were not run; not charged
}

// Slice is the part of the allowance that one daemon incarnation has reserved.
type Slice struct {
	Daemon string `json:"daemon"`
	// Sequence rises with each settlement of this slice. It shows whether a settlement took
	// effect although its reply was lost, so that it is not applied twice.
	Sequence uint64 `json:"sequence"`
	Requests int64  `json:"requests"` // reserved requests
	Tokens   int64  `json:"tokens"`   // reserved tokens
}

// Kind returns KindAccount.
func (*Account) Kind() Kind { return KindAccount }
