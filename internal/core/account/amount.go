package account

import (
	"math"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// unbounded is the value of an allowance without a limit. It is small enough that sums of
// several such values don't overflow.
const unbounded = math.MaxInt64 / 8

// amount is a number of requests and a number of tokens.
type amount struct {
	requests int64
	tokens   int64
}

func (a amount) plus(b amount) amount { return amount{a.requests + b.requests, a.tokens + b.tokens} }

func (a amount) minus(b amount) amount { return amount{a.requests - b.requests, a.tokens - b.tokens} }

func (a amount) min(b amount) amount {
	return amount{min(a.requests, b.requests), min(a.tokens, b.tokens)}
}

func (a amount) max(b amount) amount {
	return amount{max(a.requests, b.requests), max(a.tokens, b.tokens)}
}

// covers reports whether b fits into a.
func (a amount) covers(b amount) bool { return a.requests >= b.requests && a.tokens >= b.tokens }

// scale multiplies both numbers by f. Results above unbounded become unbounded.
func (a amount) scale(f float64) amount {
	return amount{scaled(a.requests, f), scaled(a.tokens, f)}
}

func scaled(n int64, f float64) int64 {
	return int64(min(float64(n)*f, unbounded))
}

func amountOf(u object.Usage) amount { return amount{u.Requests, u.Tokens} }

func sliceAmount(s object.Slice) amount { return amount{s.Requests, s.Tokens} }

// allowanceOf returns the monthly allowance of a contract, in which zero means no limit.
func allowanceOf(c *object.Contract) amount {
	a := amount{c.RequestsPerMonth, c.TokensPerMonth}
	if a.requests == 0 {
		a.requests = unbounded
	}
	if a.tokens == 0 {
		a.tokens = unbounded
	}
	return a
}

func add(u, v object.Usage) object.Usage {
	return object.Usage{
		Requests: u.Requests + v.Requests, Tokens: u.Tokens + v.Tokens,
		Unknown: u.Unknown + v.Unknown, NotRun: u.NotRun + v.NotRun,
	}
}

func subtract(u, v object.Usage) object.Usage {
	return object.Usage{
		Requests: u.Requests - v.Requests, Tokens: u.Tokens - v.Tokens,
		Unknown: u.Unknown - v.Unknown, NotRun: u.NotRun - v.NotRun,
	}
}
