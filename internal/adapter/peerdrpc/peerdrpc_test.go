package peerdrpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/proxy/settings"
)

type (
	testCA struct {
		t    *testing.T
		cert *x509.Certificate
		key  *ecdsa.PrivateKey
		dir  string
	}
)

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{t: t, dir: t.TempDir()}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.writePEM("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *testCA) writePEM(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// newIdentity returns a VM's TLS identity for 127.0.0.1, signed by the CA.
func (a *testCA) newIdentity() *settings.Identity {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	identity, err := settings.NewIdentity(settings.TLSFiles{
		Certificate: a.writePEM("cert.pem", "CERTIFICATE", der),
		Key:         a.writePEM("key.pem", "EC PRIVATE KEY", keyDER),
		Authority:   filepath.Join(a.dir, "ca.pem"),
	})
	if err != nil {
		a.t.Fatal(err)
	}
	return identity
}

func noTLS() *tls.Config { return nil }

// startServer starts a peer that echoes exchanges and sends received handovers to a channel.
func startServer(t *testing.T, config *tls.Config, records chan<- peer.HandoverRequest) peer.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	if config != nil {
		l = tls.NewListener(l, config)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = Serve(ctx, l, Handlers{
			Exchange: func(e peer.Exchange) peer.Exchange { return e },
			Handover: func(h peer.HandoverRequest) peer.Stamp {
				records <- h
				return h.Stamp
			},
		})
	}()
	return peer.Member{Name: "peer", PeerAddress: address}
}

func sampleExchange() peer.Exchange {
	return peer.Exchange{
		From:     "proxy-1",
		Stamp:    peer.Stamp{Wall: 5, Count: 6},
		Versions: peer.Versions{Bundle: 1, Assignment: 2, VMList: 3, Members: 4, Prefixes: 5, MemberCount: 6},
		Members: []peer.Member{{
			Name: "proxy-1", Address: netip.MustParseAddrPort("10.0.0.1:80"), PeerAddress: netip.MustParseAddrPort("10.0.0.1:81"),
			OperatorAddress: netip.MustParseAddrPort("10.0.0.1:82"), Region: "r", Domain: "d", Incarnation: 7, Sequence: 8,
			State: peer.StateLeaving, Successor: "proxy-2", CapacityBundle: 9,
		}},
		Bundle: []byte("b"), Assignment: []byte("a"), VMList: []byte("m"), Rows: [][]int{{400, 600}, {0, 1000}},
	}
}

// A field missing from the conversion would be lost between proxies without an error.
func TestMessagesRoundTrip(t *testing.T) {
	records := make(chan peer.HandoverRequest, 1)
	to := startServer(t, nil, records)
	client := NewClient(noTLS)
	defer func() { _ = client.Close() }()
	want := sampleExchange()
	got, err := client.Exchange(context.Background(), to, want)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got exchange %+v, want %+v", got, want)
	}
	handover := peer.HandoverRequest{From: "proxy-1", Stamp: peer.Stamp{Wall: 1}, Records: []caller.Handover{{
		Minter: caller.Minter{Name: "proxy-1", Incarnation: 3}, Key: caller.TokenKey{1, 2, 3}, Retention: time.Minute,
		Records: []caller.TokenRecord{{
			Nonce: caller.Nonce{9}, State: 2, Expiry: time.UnixMilli(1234),
			Response: &caller.Response{Status: 201, Header: http.Header{"X": {"y"}}, Body: []byte("z")},
		}},
	}}}
	if _, err := client.Handover(context.Background(), to, handover); err != nil {
		t.Fatal(err)
	}
	if got := <-records; !reflect.DeepEqual(got, handover) {
		t.Errorf("got handover %+v, want %+v", got, handover)
	}
}

// Connections to a proxy's peer address without a certificate, or with one of another CA, must be
// rejected. Otherwise anyone on the network could exchange state, borrow quota or take over
// records.
func TestOnlyPeersWithCertificateOfCA(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	identity, otherIdentity := ca.newIdentity(), otherCA.newIdentity()
	to := startServer(t, identity.ServerConfig(true), nil)
	cases := []struct {
		name   string
		config func() *tls.Config
		want   bool
	}{
		{"a peer", identity.ClientConfig, true},
		{"plain TCP", noTLS, false},
		{"another CA", otherIdentity.ClientConfig, false},
		{"no certificate", func() *tls.Config {
			c := identity.ClientConfig()
			c.Certificates = nil
			return c
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := NewClient(c.config)
			defer func() { _ = client.Close() }()
			_, err := client.Exchange(context.Background(), to, sampleExchange())
			if got := err == nil; got != c.want {
				t.Errorf("got a reply: %v (error %v), want %v", got, err, c.want)
			}
		})
	}
}
