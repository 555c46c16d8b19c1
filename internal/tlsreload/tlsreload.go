// Package tlsreload creates TLS configurations for listeners and clients. A listener's
// certificate is loaded again when its files change, so that a renewed certificate needs no
// restart.
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

// CheckInterval is the shortest time between two checks whether the files have changed.
const CheckInterval = time.Second

// Certificate is a certificate with its key that is reloaded when its files change. It is safe
// for concurrent use.
type Certificate struct {
	certFile, keyFile string
	now               func() time.Time
	onError           func(error)

	mu           sync.Mutex
	current      *tls.Certificate
	loadedStamps [2]fileStamp // of the certificate's and the key's file, as last loaded
	lastCheckAt  time.Time
}

// fileStamp is the state of a file that is compared to detect a change. It is zero if the file
// can't be read.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Option changes a Certificate.
type Option func(*Certificate)

// WithClock sets the clock that CheckInterval is measured with. The default is time.Now.
func WithClock(now func() time.Time) Option { return func(c *Certificate) { c.now = now } }

// WithErrorHandler sets a function that is called when changed files can't be loaded. The
// certificate loaded before stays in use. By default such errors are ignored.
func WithErrorHandler(f func(error)) Option { return func(c *Certificate) { c.onError = f } }

// Load loads a certificate and its key from PEM files.
func Load(certFile, keyFile string, options ...Option) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, now: time.Now, onError: func(error) {}}
	for _, option := range options {
		option(c)
	}
	c.lastCheckAt = c.now()
	c.loadedStamps = c.stamps()
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// Get returns the current certificate. If the last check was CheckInterval ago or earlier, it
// first checks the files and reloads them if they have changed.
func (c *Certificate) Get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.lastCheckAt) < CheckInterval {
		return c.current
	}
	c.lastCheckAt = now
	seen := c.stamps()
	if seen == c.loadedStamps {
		return c.current
	}
	if err := c.load(); err != nil {
		// The two files are replaced one after the other, so they may not match yet. The next
		// check tries again.
		c.onError(err)
		return c.current
	}
	c.loadedStamps = seen
	return c.current
}

func (c *Certificate) stamps() [2]fileStamp {
	return [2]fileStamp{statFile(c.certFile), statFile(c.keyFile)}
}

func statFile(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}

func (c *Certificate) load() error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "read certificate and key: give PEM files that belong together")
	}
	c.current = &pair
	return nil
}

// ServerConfig returns the TLS configuration of a listener, or nil if TLS is not enabled.
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

// ClientConfig returns the TLS configuration for dialling, or nil if TLS is not enabled. It
// trusts the system's authorities if the settings name no file of authorities.
func ClientConfig(t config.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return DialConfig(t.CA)
}

// DialConfig returns the TLS configuration for dialling. It trusts the authorities in a PEM
// file, or the system's authorities if the path is empty.
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
		return nil, errors.Errorf("%s contains no certificate: give authorities in PEM", caFile)
	}
	return c, nil
}
