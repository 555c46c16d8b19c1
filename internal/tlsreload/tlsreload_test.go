package tlsreload

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func writePair(t *testing.T, cert, key string, serial int64) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	stamp := time.Unix(serial*100, 0) // some file systems store whole seconds only
	require.NoError(t, os.Chtimes(cert, stamp, stamp))
	require.NoError(t, os.Chtimes(key, stamp, stamp))
}

func TestCertificateIsReloadedWhenFilesChange(t *testing.T) {
	cert, key := filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	writePair(t, cert, key, 1)
	now := time.Unix(0, 0)
	failures := 0
	c, err := Load(cert, key, WithClock(func() time.Time { return now }), WithErrorHandler(func(error) { failures++ }))
	require.NoError(t, err)
	serial := func() int64 { return c.Get().Leaf.SerialNumber.Int64() }
	require.EqualValues(t, 1, serial())

	writePair(t, cert, key, 2)
	require.EqualValues(t, 1, serial(), "the files are not checked before CheckInterval has passed")
	now = now.Add(CheckInterval)
	require.EqualValues(t, 2, serial())

	require.NoError(t, os.WriteFile(key, []byte("torn"), 0o600))
	now = now.Add(CheckInterval)
	require.EqualValues(t, 2, serial(), "the certificate loaded before stays in use if the new one can't be loaded")
	require.Equal(t, 1, failures)

	writePair(t, cert, key, 3)
	now = now.Add(CheckInterval)
	require.EqualValues(t, 3, serial())
}
