package config

import (
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
)

// namePattern matches the names of clusters, daemons and data centres: 1 to 64 lower-case
// letters, digits, dots and dashes.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

const keyHashBytes = 32 // size of a SHA-256 hash

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Remedy: fmt.Sprintf(format, args...)}
}

// Check returns a *FieldError for the first rule that the settings break, or nil.
func (s *Settings) Check() error {
	checks := []func() error{
		s.checkNames,
		func() error { return checkBounds(s) },
		s.checkCallers,
		s.checkOperators,
		s.checkPeers,
		s.checkListenAddresses,
		s.checkPlatform,
		s.checkDurations,
		s.checkLog,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames() error {
	names := []struct{ field, value string }{
		{"cluster", s.Cluster},
		{"daemon", s.Daemon},
		{"dataCentre", s.DataCentre},
	}
	for _, n := range names {
		if !namePattern.MatchString(n.value) {
			return fieldErrorf(n.field, "give a name of 1 to 64 lower-case letters, digits, dots and dashes, not %q", n.value)
		}
	}
	return nil
}

func (s *Settings) checkCallers() error {
	if err := checkAddress("callers.listen", s.Callers.Listen); err != nil {
		return err
	}
	return checkTLS("callers.tls", s.Callers.TLS)
}

func (s *Settings) checkOperators() error {
	o := s.Operators
	if err := checkAddress("operators.listen", o.Listen); err != nil {
		return err
	}
	if o.Advertise != "" {
		if err := checkDialable("operators.advertise", o.Advertise); err != nil {
			return err
		}
	}
	for i, hash := range o.KeyHashes {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != keyHashBytes {
			return fieldErrorf(fmt.Sprintf("operators.keyHashes.%d", i), "give the SHA-256 of the key as %d hex digits", 2*keyHashBytes)
		}
	}
	if err := checkSecret("operators.key", o.Key); err != nil {
		return err
	}
	if len(o.KeyHashes) == 0 && o.Key.IsZero() && !isLoopback(o.Listen) {
		return fieldErrorf("operators.listen", "give operators.keyHashes or operators.key, or listen on a loopback address")
	}
	return checkTLS("operators.tls", o.TLS)
}

func (s *Settings) checkPeers() error {
	p := s.Peers
	if err := checkAddress("peers.listen", p.Listen); err != nil {
		return err
	}
	if err := checkDialable("peers.advertise", p.AdvertisedAddress()); err != nil {
		return err
	}
	for i, seed := range p.Seeds {
		if err := checkDialable(fmt.Sprintf("peers.seeds.%d", i), seed); err != nil {
			return err
		}
	}
	if p.Key.IsZero() {
		return fieldErrorf("peers.key", `name the place of the key that all daemons share: {"file": "..."} or {"env": "..."}`)
	}
	if err := checkSecret("peers.key", p.Key); err != nil {
		return err
	}
	return checkTLS("peers.tls", p.TLS)
}

// AdvertisedAddress returns the address under which other daemons reach this one: Advertise if it
// is set, and otherwise Listen.
func (p Peers) AdvertisedAddress() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// AdvertisedAddress returns the address under which rhubarbctl reaches this daemon: Advertise if
// it is set, and otherwise Listen.
func (o Operators) AdvertisedAddress() string {
	if o.Advertise != "" {
		return o.Advertise
	}
	return o.Listen
}

// checkListenAddresses refuses two interfaces on the same address, unless its port is 0, for
// which the system chooses a free port.
func (s *Settings) checkListenAddresses() error {
	listens := []struct{ field, address string }{
		{"callers.listen", s.Callers.Listen},
		{"operators.listen", s.Operators.Listen},
		{"peers.listen", s.Peers.Listen},
	}
	for i, a := range listens {
		for _, b := range listens[:i] {
			if a.address == b.address && !strings.HasSuffix(a.address, ":0") {
				return fieldErrorf(a.field, "%s is already used by %s: give each an address of its own", a.address, b.field)
			}
		}
	}
	return nil
}

func (s *Settings) checkPlatform() error {
	u, err := url.Parse(s.Platform.Address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fieldErrorf("platform.address", `give the base URL, such as "http://10.0.0.1:7000"`)
	}
	return nil
}

func (s *Settings) checkDurations() error {
	switch {
	case s.Peers.Silence < 2*s.Peers.Heartbeat:
		return fieldErrorf("peers.silence", "use at least twice peers.heartbeat (%s)", 2*s.Peers.Heartbeat)
	case s.Lease.Duration <= s.Platform.CallTimeout:
		return fieldErrorf("lease.duration", "use more than platform.callTimeout (%s)", s.Platform.CallTimeout)
	case s.Claims.Retention < 2*s.Claims.Window:
		return fieldErrorf("claims.retention", "use at least twice claims.window (%s)", 2*s.Claims.Window)
	}
	return nil
}

func (s *Settings) checkLog() error {
	if s.Log.Format != "json" && s.Log.Format != "text" {
		return fieldErrorf("log.format", `use "json" or "text"`)
	}
	if _, err := s.Log.SlogLevel(); err != nil {
		return fieldErrorf("log.level", `use "debug", "info", "warn" or "error"`)
	}
	return nil
}

// SlogLevel returns the level as a value of log/slog.
func (l Log) SlogLevel() (slog.Level, error) {
	var level slog.Level
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, l.Level) {
		return level, fieldErrorf("log.level", `use "debug", "info", "warn" or "error"`)
	}
	err := level.UnmarshalText([]byte(l.Level))
	return level, err
}

func checkTLS(field string, t TLS) error {
	if (t.Cert == "") != (t.Key == "") {
		return fieldErrorf(field, "give cert and key together, or neither")
	}
	return nil
}

func checkSecret(field string, s Secret) error {
	if s.File != "" && s.Env != "" {
		return fieldErrorf(field, `give "file" or "env", not both`)
	}
	return nil
}

func checkAddress(field, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fieldErrorf(field, `give host:port, such as "10.0.0.2:8443", not %q`, address)
	}
	return nil
}

// checkDialable refuses an address that another host can't dial, because it has no host or
// an unspecified one such as 0.0.0.0.
func checkDialable(field, address string) error {
	if err := checkAddress(field, address); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(address)
	ip, err := netip.ParseAddr(host)
	if host == "" || (err == nil && ip.IsUnspecified()) {
		return fieldErrorf(field, "give an address that others can dial, with an IP address in place of %q", host)
	}
	return nil
}

func isLoopback(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	if host == "localhost" {
		return true
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}
