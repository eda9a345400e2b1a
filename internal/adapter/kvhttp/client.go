// Package kvhttp speaks to the platform's key-value service and list of
// VMs over HTTP.
//
// The dialect is that of the project's stand-in: GET with a revision to wait
// for, PUT with the expected revision, and the new revision in a header. A
// deployment on another service replaces this package only.
package kvhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
)

const (
	// HeaderRevision carries a value's revision.
	HeaderRevision = "Revision"
	// HeaderExpectedRevision carries the revision that a write expects.
	HeaderExpectedRevision = "Expect-Revision"
	// MaxValueBytes is the largest value that the service takes.
	MaxValueBytes = 1 << 20

	readTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	// WatchTimeout is how long the service holds a watch without news.
	WatchTimeout       = 30 * time.Second
	watchTimeoutMargin = 5 * time.Second
)

type (
	// Client calls the platform, trying its addresses in turn.
	Client struct {
		addresses   []netip.AddrPort
		http        *http.Client
		nextAddress atomic.Uint64
		// OnCall counts calls by operation, for metrics; nil for none.
		OnCall func(operation string)
	}
)

// NewClient makes a client of the platform at these addresses.
func NewClient(addresses []netip.AddrPort) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	return &Client{addresses: addresses, http: &http.Client{Transport: transport}}
}

// Get reads a value. ErrNotFound means that there is none.
func (c *Client) Get(ctx context.Context, key kv.Key) (kv.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.read(ctx, "get", "/v1/keys/"+url.PathEscape(string(key)), nil)
}

// Watch waits until the value is past a revision. It returns ErrNotFound or the
// same revision when nothing came in time.
func (c *Client) Watch(ctx context.Context, key kv.Key, after kv.Revision) (kv.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+watchTimeoutMargin)
	defer cancel()
	query := url.Values{"after": {fmt.Sprint(after)}, "wait": {WatchTimeout.String()}}
	return c.read(ctx, "watch", "/v1/keys/"+url.PathEscape(string(key)), query)
}

// WatchMachines waits until the list of VMs is past a version.
func (c *Client) WatchMachines(ctx context.Context, after uint64) (*kv.MachineList, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+watchTimeoutMargin)
	defer cancel()
	query := url.Values{"after": {fmt.Sprint(after)}, "wait": {WatchTimeout.String()}}
	value, err := c.read(ctx, "machines", "/v1/machines", query)
	if err != nil {
		return nil, err
	}
	return kv.ParseMachineList(value.Data)
}

// CompareAndSwap writes a value if it is still at the expected revision; zero expects
// none. ErrUnavailable leaves open whether the write took effect: read back.
func (c *Client) CompareAndSwap(ctx context.Context, key kv.Key, expect kv.Revision, data []byte) (kv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	request, err := c.newRequest(ctx, http.MethodPut, "/v1/keys/"+url.PathEscape(string(key)), nil, data)
	if err != nil {
		return 0, err
	}
	request.Header.Set(HeaderExpectedRevision, fmt.Sprint(expect))
	value, err := c.do("swap", request)
	return value.Revision, err
}

func (c *Client) read(ctx context.Context, operation, path string, query url.Values) (kv.Value, error) {
	request, err := c.newRequest(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return kv.Value{}, err
	}
	return c.do(operation, request)
}

func (c *Client) newRequest(ctx context.Context, method, path string, query url.Values, data []byte) (*http.Request, error) {
	address := c.addresses[c.nextAddress.Add(1)%uint64(len(c.addresses))]
	target := "http://" + address.String() + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	return request, errs.Wrap(err, "platform request")
}

func (c *Client) do(operation string, request *http.Request) (kv.Value, error) {
	if c.OnCall != nil {
		c.OnCall(operation)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return kv.Value{}, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return kv.Value{}, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	revision, _ := strconv.ParseUint(response.Header.Get(HeaderRevision), 10, 64)
	result := kv.Value{Revision: kv.Revision(revision), Data: data}
	switch response.StatusCode {
	case http.StatusOK:
		return result, nil
	case http.StatusNotFound:
		return result, kv.ErrNotFound
	case http.StatusConflict:
		return result, kv.ErrConflict
	}
	return result, errors.Wrapf(kv.ErrUnavailable, "status %d", response.StatusCode)
}

// List reads all values whose keys begin with a prefix.
func (c *Client) List(ctx context.Context, prefix kv.Key) (map[kv.Key]kv.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := c.read(ctx, "list", "/v1/keys", url.Values{"prefix": {string(prefix)}})
	if err != nil {
		return nil, err
	}
	var items map[kv.Key]kv.Value
	if err := json.Unmarshal(value.Data, &items); err != nil {
		return nil, errors.Wrap(err, "list of values")
	}
	return items, nil
}

// Store gives the client as the kernel's seam.
func (c *Client) Store() kv.Store {
	return kv.Store{Get: c.Get, CompareAndSwap: c.CompareAndSwap, Sleep: sleep}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
