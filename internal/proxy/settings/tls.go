package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// reloadCheckInterval is how often the modification times of the files are checked.
	reloadCheckInterval = 2 * time.Second
)

type (
	// Identity is the proxy's TLS identity. It is reloaded when its files are replaced. If the new
	// files cannot be loaded, the old identity stays in use.
	Identity struct {
		files     TLSFiles
		mu        sync.Mutex
		lastCheck time.Time
		modTime   time.Time
		cert      *tls.Certificate
		pool      *x509.CertPool
	}
)

// NewIdentity loads the files. It returns nil if none are set.
func NewIdentity(files TLSFiles) (*Identity, error) {
	if files.Certificate == "" {
		return nil, nil
	}
	i := &Identity{files: files}
	if err := i.load(); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Identity) load() error {
	cert, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return errors.Wrap(err, "tls.certificate-file and tls.key-file")
	}
	authority, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return errors.Wrap(err, "tls.authority-file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.New("tls.authority-file: contains no certificate")
	}
	i.cert = &cert
	i.pool = pool
	i.modTime = i.latestModTime()
	return nil
}

func (i *Identity) latestModTime() time.Time {
	var newest time.Time
	for _, name := range []string{i.files.Certificate, i.files.Key, i.files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.lastCheck) > reloadCheckInterval {
		i.lastCheck = time.Now()
		if i.latestModTime().After(i.modTime) {
			// A partially written file fails to load. The next check tries again.
			_ = i.load()
		}
	}
	return i.cert, i.pool
}

// ServerConfig returns the TLS configuration of a listener. With mutual set, as for peers, clients
// must present a certificate signed by the certificate authority. Operators need none, because
// their bundles are signed.
func (i *Identity) ServerConfig(mutual bool) *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := i.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if mutual {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connections to peers. The certificate of a peer
// must contain the IP address that the peer listens on.
func (i *Identity) ClientConfig() *tls.Config {
	if i == nil {
		return nil
	}
	cert, pool := i.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, RootCAs: pool}
}
