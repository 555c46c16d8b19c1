// Package retry bounds the load that retries add.
//
// Budget is a token bucket for a daemon that serves callers: each first attempt adds a share
// of a retry, and each retry takes one. Windows are the retry budgets of a gateway daemon: they
// bound the retries of all daemons together at each service in every window of time.
package retry

// Settings configure a Budget.
type Settings struct {
	// Share is the number of retries that one first attempt adds to the budget. In the long run
	// retries are at most this share of the first attempts.
	Share float64
	// MaxSaved is the largest number of retries that can be saved up. A daemon starts with it.
	MaxSaved float64
	// MaxAttempts bounds the attempts of one request, the first one included.
	MaxAttempts int
}

// Defaults returns the settings that are used unless others are configured.
func Defaults() Settings { return Settings{Share: 0.2, MaxSaved: 50, MaxAttempts: 4} }

// Budget counts the retries that may still be made.
type Budget struct {
	set   Settings
	saved float64
}

// New returns a full budget.
func New(set Settings) *Budget { return &Budget{set: set, saved: set.MaxSaved} }

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest() { b.saved = min(b.saved+b.set.Share, b.set.MaxSaved) }

// Allow reports whether a request that has made a number of attempts may be retried, and if so
// takes one retry from the budget.
func (b *Budget) Allow(attempts int) bool {
	if attempts >= b.set.MaxAttempts || b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
