// Package forward is the proxy process that forwards callers' requests unchanged. It connects the
// steering kernel to callers, backend servers, the platform's store and the other proxies. The
// main program supplies the platform's interfaces and names as Dependencies.
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
	// StoreNotFound means that the key or lease doesn't exist.
	StoreNotFound StoreErrorCode = iota + 1
	// StoreCompacted means that the requested history has been compacted.
	StoreCompacted
	// StoreConflict means that a precondition of the call didn't hold.
	StoreConflict
	// StoreUnavailable means that the store rejected the call without effect, such as when
	// overloaded.
	StoreUnavailable
)

type (
	// Settings configures the process.
	Settings struct {
		Name   string
		Domain string
		Region string
		Listen ListenAddresses
		// Seeds are peer addresses of proxies to bootstrap from; they may be outdated.
		Seeds []netip.AddrPort
		// FirstStart is set if the whole system starts for the first time.
		FirstStart bool
		// RegionOf maps each failure domain to its region.
		RegionOf map[string]string
		// MemoryBytes is the memory above which the process is killed; zero if unknown.
		MemoryBytes int64
		// LinkMbps is the bandwidth of the VM's link, in Mbit/s; zero if unknown.
		LinkMbps int
		// CPUShare is the share of a core that the process gets, CPUCores the number of cores that
		// it may use; zero if unknown. The smaller one bounds its CPU time.
		CPUShare, CPUCores float64
		Bounds             Bounds
		// DisabledMechanisms lists the mechanisms that the command line switches off.
		DisabledMechanisms []steering.Mechanism
	}

	// ListenAddresses holds the addresses that the process listens on.
	ListenAddresses struct {
		Callers   netip.AddrPort
		Readiness netip.AddrPort
		Peers     netip.AddrPort
		Directory netip.AddrPort
		Operators netip.AddrPort
		// Handovers is where other proxies hand requests over. Without it, none do.
		Handovers netip.AddrPort
	}

	// Bounds are the limits that operators set. They may change while the process runs.
	Bounds struct {
		// GracePeriod is how long a graceful shutdown may take.
		GracePeriod time.Duration
		// MaxLookupTTL is the longest time that callers may cache a lookup response.
		MaxLookupTTL time.Duration
		// RetryRatio, RetryWindow and RetrySlack are the retry budget that all proxies share: a
		// fraction of the requests in the window, plus a fixed number.
		RetryRatio  float64
		RetryWindow time.Duration
		RetrySlack  float64
		// ColdFactor and ColdSlack bound the requests per second to a cold server.
		ColdFactor float64
		ColdSlack  float64
		// QuotaRatio and QuotaRequests are the overage allowed beyond the limit of a client account
		// in any QuotaWindow: a fraction of the limit, plus a fixed number.
		QuotaWindow   time.Duration
		QuotaRatio    float64
		QuotaRequests float64
	}

	// WireNames are the platform's names of headers, paths, query parameters and store keys.
	WireNames struct {
		CallerHeaders forwardhttp.Headers
		ServerHeaders serverhttp.Headers
		// The path and query parameters by which callers look up proxies.
		LookupPath, LookupHost, LookupRegion, LookupDomain string
		ReadinessPath                                      string
		// ConfigurationKey is the key of the configuration in force. The others are prefixes of
		// keys, each followed by a name.
		ConfigurationKey, EvacuationPrefix, ServerPrefix string
	}

	// KeyValue is one key of the store with its value, or its removal.
	KeyValue struct {
		Key      string
		Value    []byte
		Revision uint64
		Removed  bool
	}

	// StorePosition is a place in the store's history. The era is zero if the store did not report
	// it.
	StorePosition struct {
		Era, Revision uint64
	}

	// StoreErrorCode classifies a StoreError.
	StoreErrorCode uint8

	// StoreError is an error response of the store. After any other error of a call it's unknown
	// whether the call took effect.
	StoreError struct {
		Code   StoreErrorCode
		Status int
	}

	// Store holds the calls to the platform's metadata store.
	Store struct {
		// Range reads all keys with a prefix, and the position from which a watch misses no change.
		// A stale read may be seconds old and costs a tenth.
		Range func(ctx context.Context, prefix string, stale bool) ([]KeyValue, StorePosition, error)
		// Watch returns the changes after a revision, and the era of the response. In another era
		// than that of the revision, they are not those that followed it.
		Watch       func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KeyValue, uint64, error)
		GrantLease  func(ctx context.Context, span time.Duration) (uint64, error)
		RenewLease  func(ctx context.Context, lease uint64) error
		Put         func(ctx context.Context, key string, value []byte, lease uint64) error
		RevokeLease func(ctx context.Context, lease uint64) error
	}

	// Codec decodes the configuration and the servers' registrations, and encodes lookup
	// responses.
	Codec struct {
		DecodeTable          func([]byte) (*routing.Table, error)
		DecodeServer         func(id string, data []byte) (routing.Server, error)
		EncodeLookupResponse func([]netip.AddrPort, time.Duration) ([]byte, error)
	}

	// Dependencies are supplied by the main program.
	Dependencies struct {
		Names WireNames
		Store Store
		Codec Codec
		// LoadSettings reads the current settings.
		LoadSettings func() (*Settings, error)
		// DroppedLogLines counts the log lines dropped because the log buffer was full.
		DroppedLogLines func() uint64
		// Record receives each call of the kernel, for recordings; nil for none.
		Record func(steering.Call)
	}
)

// Error implements error.
func (e *StoreError) Error() string {
	texts := map[StoreErrorCode]string{
		StoreNotFound: "key or lease not found", StoreCompacted: "requested history has been compacted",
		StoreConflict: "precondition failed", StoreUnavailable: "store rejected the call",
	}
	if text, ok := texts[e.Code]; ok {
		return text
	}
	return "unexpected status from the store"
}
