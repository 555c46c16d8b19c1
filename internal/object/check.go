package object

import (
	"fmt"
	"regexp"

	"github.com/go-faster/errors"
)

// RuleError reports a broken rule.
type RuleError struct {
	Field  string // JSON name of the field, or names separated by commas
	Remedy string // what to enter instead
}

// Error returns the field and the remedy.
func (e *RuleError) Error() string { return e.Field + ": " + e.Remedy }

func ruleError(field, format string, args ...any) error {
	return &RuleError{Field: field, Remedy: fmt.Sprintf(format, args...)}
}

const (
	maxMembers    = 64 // hosts in one group
	maxPriority   = 9
	hashHexDigits = 64 // hex digits of SHA-256
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,126}[a-z0-9])?$`)

// CheckName returns an error unless name is valid as the name of an object.
func CheckName(name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return ruleError("name", "use 1 to 128 lower-case letters, digits, dots, dashes and underscores, not %q", name)
}

// New returns an empty value of a kind.
func New(kind Kind) (Value, error) {
	switch kind {
	case KindContract:
		return &Contract{}, nil
	case KindModel:
		return &Model{}, nil
	case KindService:
		return &Service{}, nil
	case KindDataCentre:
		return &DataCentre{}, nil
	case KindHost:
		return &Host{}, nil
	case KindDomain:
		return &Domain{}, nil
	case KindLease:
		return &Lease{}, nil
	case KindDaemon:
		return &Daemon{}, nil
	case KindClaim:
		return &ClaimShard{}, nil
	case KindAccount:
		return &Account{}, nil
	}
	return nil, errors.Errorf("kind %q is not known: use one of contract, model, service, datacentre, host", kind)
}

// Check reports the first broken rule.
func (c *Contract) Check() error {
	for _, h := range c.KeyHashes {
		if len(h) != hashHexDigits {
			return ruleError("keyHashes", "give the SHA-256 of the key as %d hex digits", hashHexDigits)
		}
	}
	if c.Priority < 0 || c.Priority > maxPriority {
		return ruleError("priority", "use 0 to %d", maxPriority)
	}
	if c.Weight < 0 || c.Concurrency < 0 || c.DeadlineMillis < 0 {
		return ruleError("weight, concurrency, deadlineMillis", "use 0 or more")
	}
	if c.RequestsPerSecond < 0 || c.TokensPerSecond < 0 || c.RequestsPerMonth < 0 || c.TokensPerMonth < 0 {
		return ruleError("limits", "use 0 (no bound) or more")
	}
	switch c.OutageRule {
	case "", OutageRefuse, OutageServe:
	default:
		return ruleError("outageRule", "use %q or %q", OutageRefuse, OutageServe)
	}
	if c.Objectives.Share < 0 || c.Objectives.Share >= 1 || c.Objectives.WholeShare < 0 || c.Objectives.WholeShare >= 1 {
		return ruleError("objectives", "use a share from 0 to below 1")
	}
	return nil
}

// Check reports the first broken rule.
func (m *Model) Check() error {
	if m.Members < 1 || m.Members > maxMembers {
		return ruleError("members", "use 1 to %d", maxMembers)
	}
	if m.Groups < 0 || m.SpareHosts < 0 {
		return ruleError("groups, spareHosts", "use 0 or more")
	}
	return checkLimits(m.ColdLimit, m.WarmLimit, m.WarmAfter)
}

// Check reports the first broken rule.
func (s *Service) Check() error {
	seen := make(map[string]bool)
	for _, t := range s.Targets {
		if t.Host == "" || t.Address == "" || t.DataCentre == "" {
			return ruleError("targets", "give host, address and dataCentre of each")
		}
		if seen[t.Host] {
			return ruleError("targets", "name host %q once", t.Host)
		}
		seen[t.Host] = true
	}
	return checkLimits(s.ColdLimit, s.WarmLimit, s.WarmAfter)
}

func checkLimits(cold, warm, after int) error {
	if cold < 1 {
		return ruleError("coldLimit", "use 1 or more: a target that takes no work never warms up")
	}
	if warm < cold {
		return ruleError("warmLimit", "use coldLimit (%d) or more", cold)
	}
	if after < 0 {
		return ruleError("warmAfter", "use 0 or more answers")
	}
	return nil
}

// Check reports the first broken rule.
func (d *DataCentre) Check() error {
	if d.RampSeconds < 0 {
		return ruleError("rampSeconds", "use 0 (the default) or more seconds")
	}
	return nil
}

// Check reports the first broken rule.
func (*Host) Check() error { return nil }

// Check reports a host that is a member of two groups, or a group without members.
func (d *Domain) Check() error {
	seen := make(map[string]string)
	for name, g := range d.Groups {
		if len(g.Members) == 0 {
			return ruleError("groups", "group %q needs members", name)
		}
		for _, host := range g.Members {
			if other, taken := seen[host]; taken {
				return ruleError("groups", "host %q stands in groups %q and %q: keep one", host, other, name)
			}
			seen[host] = name
		}
	}
	return nil
}

// Check reports the first broken rule.
func (l *Lease) Check() error {
	if l.Daemon == "" || l.Millis <= 0 {
		return ruleError("lease", "give daemon and millis")
	}
	return nil
}

// Check reports the first broken rule.
func (*Daemon) Check() error { return nil }

// Check reports the first broken rule.
func (*ClaimShard) Check() error { return nil }

// Check reports a negative count.
func (a *Account) Check() error {
	if a.Settled.Requests < 0 || a.Settled.Tokens < 0 {
		return ruleError("settled", "counts never fall below 0")
	}
	return nil
}
