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
	// reloadCheckInterval is how often the files' times are looked at.
	reloadCheckInterval = 2 * time.Second
)

type (
	// Identity is the proxy's TLS identity, read again when its files are
	// replaced. A replacement that does not load leaves the old one in use.
	Identity struct {
		files     TLSFiles
		mu        sync.Mutex
		lastCheck time.Time
		modTime   time.Time
		cert      *tls.Certificate
		pool      *x509.CertPool
	}
)

// NewIdentity loads the files; nil without any.
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
		return errors.New("tls.authority-file: holds no certificate")
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
			// A half-written file fails to load; the next check tries again.
			_ = i.load()
		}
	}
	return i.cert, i.pool
}

// ServerConfig is the configuration for a listener. Peers must present a
// certificate of the authority; operators need none, their bundles are signed.
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

// ClientConfig is the configuration for a call to a peer. Certificates name the
// IP address that a peer listens on.
func (i *Identity) ClientConfig() *tls.Config {
	if i == nil {
		return nil
	}
	cert, pool := i.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, RootCAs: pool}
}
