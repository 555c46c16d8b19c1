// Package retry bounds how much load retries may add: a budget that first attempts
// fill and retries spend.
package retry

// Settings bound the budget.
type Settings struct {
	// Share is what one first attempt adds: the share of retries among all requests.
	Share float64
	// Most is the number of retries that can be saved up, and what a daemon starts with.
	Most float64
	// Attempts bounds the attempts of one request.
	Attempts int
}

// Defaults returns the settings used where none are given.
func Defaults() Settings { return Settings{Share: 0.2, Most: 50, Attempts: 4} }

// Budget is what is left for retries.
type Budget struct {
	set  Settings
	left float64
}

// New returns a full budget.
func New(set Settings) *Budget { return &Budget{set: set, left: set.Most} }

// Started notes a first attempt.
func (b *Budget) Started() { b.left = min(b.left+b.set.Share, b.set.Most) }

// Allow spends one retry if the budget and the number of attempts made allow it.
func (b *Budget) Allow(attempts int) bool {
	if attempts >= b.set.Attempts || b.left < 1 {
		return false
	}
	b.left--
	return true
}
