// Package tlsreload serves TLS with certificates that are read again when their
// files change, so that a renewed certificate needs no restart.
package tlsreload

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
)

// CheckInterval is the least time between two looks at the files.
const CheckInterval = time.Second

// Certificate is a key pair that follows its files.
type Certificate struct {
	certFile, keyFile string
	now               func() time.Time
	onError           func(error)

	mu      sync.Mutex
	current *tls.Certificate
	seen    [2]stamp
	checked time.Time
}

// stamp tells whether a file changed.
type stamp struct {
	modified time.Time
	size     int64
}

// Option changes a Certificate.
type Option func(*Certificate)

// WithClock sets the clock that paces the looks at the files.
func WithClock(now func() time.Time) Option { return func(c *Certificate) { c.now = now } }

// OnError sets what is told of a changed pair that can't be read; the one in use stays.
func OnError(f func(error)) Option { return func(c *Certificate) { c.onError = f } }

// Load reads a key pair for the first time.
func Load(certFile, keyFile string, options ...Option) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, now: time.Now, onError: func(error) {}}
	for _, option := range options {
		option(c)
	}
	c.checked = c.now()
	c.seen = c.stamps()
	if err := c.read(); err != nil {
		return nil, err
	}
	return c, nil
}

// Get returns the pair in force; it looks at the files first if that is due.
func (c *Certificate) Get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.checked) < CheckInterval {
		return c.current
	}
	c.checked = now
	seen := c.stamps()
	if seen == c.seen {
		return c.current
	}
	if err := c.read(); err != nil {
		// The two files change one after the other: try again at the next look.
		c.onError(err)
		return c.current
	}
	c.seen = seen
	return c.current
}

func (c *Certificate) stamps() [2]stamp {
	return [2]stamp{stampOf(c.certFile), stampOf(c.keyFile)}
}

func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{modified: info.ModTime(), size: info.Size()}
}

func (c *Certificate) read() error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "read certificate and key: give PEM files that belong together")
	}
	c.current = &pair
	return nil
}

// ServerConfig returns the TLS configuration of a listener, or nil without TLS.
func ServerConfig(t config.TLS, options ...Option) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	c, err := Load(t.Cert, t.Key, options...)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.Get(), nil },
	}, nil
}

// ClientConfig returns the TLS configuration for dialling, or nil without TLS.
// Without an own authority the system's are trusted.
func ClientConfig(t config.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return DialConfig(t.CA)
}

// DialConfig returns the TLS configuration for dialling with the authorities in a
// PEM file; an empty path trusts the system's.
func DialConfig(caFile string) (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authorities: name a PEM file")
	}
	c.RootCAs = x509.NewCertPool()
	if !c.RootCAs.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate: give authorities in PEM", caFile)
	}
	return c, nil
}
