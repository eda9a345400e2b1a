// Package forward is the proxy process that forwards callers' requests as they
// are: it wires the steering kernel to callers, backend servers, the
// platform's store and the other proxies. Where it stands and what the
// platform calls things is told by the seams that the main program fills.
package forward

import (
	"context"
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/forwardhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// StoreNotFound means that the key or lease does not exist.
	StoreNotFound StoreErrorCode = iota + 1
	// StoreCompacted means that the history asked for is no longer kept.
	StoreCompacted
	// StoreConflict means that a condition did not hold.
	StoreConflict
	// StoreUnavailable means that the store refused the call and did nothing.
	StoreUnavailable
)

type (
	// Settings is what a process is told when it starts.
	Settings struct {
		Name   string
		Domain string
		Region string
		Listen ListenAddresses
		// Seeds are peer addresses of other proxies; they may be stale.
		Seeds []netip.AddrPort
		// FirstStart is set when the whole system starts for the first time.
		FirstStart bool
		// RegionOf tells the region of each failure domain.
		RegionOf map[string]string
		// MemoryBytes is what the process may use before it is killed.
		MemoryBytes int64
		// LinkMbps is how wide the VM's link is, in Mbit/s.
		LinkMbps int
		Bounds   Bounds
		// DisabledMechanisms lists the mechanisms that are not used, from the command line.
		DisabledMechanisms []steering.Mechanism
	}

	// ListenAddresses holds the addresses that the process listens on.
	ListenAddresses struct {
		Callers   netip.AddrPort
		Readiness netip.AddrPort
		Peers     netip.AddrPort
		Directory netip.AddrPort
		Operators netip.AddrPort
	}

	// Bounds are the limits that the operators have agreed on.
	Bounds struct {
		// GracePeriod is how long a stopping process may take.
		GracePeriod time.Duration
		// MaxLookupTTL is the longest that callers keep an answer.
		MaxLookupTTL time.Duration
		// RetryRatio, RetryWindow and RetrySlack are the shared budget of
		// repeats: a share of the requests in the window and a number on top.
		RetryRatio  float64
		RetryWindow time.Duration
		RetrySlack  float64
		// ColdFactor and ColdSlack bound what a cold server gets in a second.
		ColdFactor float64
		ColdSlack  float64
		// QuotaRatio and QuotaRequests are allowed beyond the limits of client accounts in any
		// QuotaWindow: a part of the limit, and a number on top.
		QuotaWindow   time.Duration
		QuotaRatio    float64
		QuotaRequests float64
	}

	// WireNames is how messages and keys call the product's fields.
	WireNames struct {
		CallerHeaders forwardhttp.Headers
		ServerHeaders serverhttp.Headers
		// Lookup of proxies by callers: path and query fields.
		LookupPath, LookupHost, LookupRegion, LookupDomain string
		ReadinessPath                                      string
		// ConfigurationKey is the key of the configuration in force, the others
		// are prefixes of keys, each followed by a name.
		ConfigurationKey, EvacuationPrefix, ServerPrefix string
	}

	// KeyValue is one key of the store.
	KeyValue struct {
		Key      string
		Value    []byte
		Revision uint64
		Removed  bool
	}

	// StoreErrorCode is what the store's refusal means.
	StoreErrorCode uint8

	// StoreError is a refusal by the store. Any other error of a call leaves
	// open whether it was done.
	StoreError struct {
		Code   StoreErrorCode
		Status int
	}

	// Store is the platform's metadata store.
	Store struct {
		// Range reads all items under a prefix and the revision from which a watch misses
		// nothing. What a stale reading tells may be seconds old; it costs a tenth.
		Range       func(ctx context.Context, prefix string, stale bool) ([]KeyValue, uint64, error)
		Watch       func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KeyValue, error)
		GrantLease  func(ctx context.Context, span time.Duration) (uint64, error)
		RenewLease  func(ctx context.Context, lease uint64) error
		Put         func(ctx context.Context, key string, value []byte, lease uint64) error
		RevokeLease func(ctx context.Context, lease uint64) error
	}

	// Codec decodes what the operator and the servers write.
	Codec struct {
		DecodeTable          func([]byte) (*routing.Table, error)
		DecodeServer         func(id string, data []byte) (routing.Server, error)
		EncodeLookupResponse func([]netip.AddrPort, time.Duration) ([]byte, error)
	}

	// Dependencies is what the main program fills in.
	Dependencies struct {
		Names WireNames
		Store Store
		Codec Codec
		// LoadSettings reads the settings again.
		LoadSettings func() (*Settings, error)
		// DroppedLogLines counts the log lines that found no room.
		DroppedLogLines func() uint64
		// Record sees each call of the kernel; nil for none.
		Record func(steering.Call)
	}
)

// Error implements error.
func (e *StoreError) Error() string {
	texts := map[StoreErrorCode]string{
		StoreNotFound: "no such key or lease", StoreCompacted: "history no longer kept",
		StoreConflict: "condition did not hold", StoreUnavailable: "store refused the call",
	}
	if text, ok := texts[e.Code]; ok {
		return text
	}
	return "store answered with an unexpected status"
}
