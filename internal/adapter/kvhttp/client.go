// Package kvhttp is an HTTP client for the platform's key-value service and list of VMs.
//
// The protocol is that of the project's fake platform: GET with a revision to wait for, PUT with
// the expected revision, and the new revision in a response header. A deployment on another service
// only has to replace this package.
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
	// HeaderRevision is the response header with a value's revision.
	HeaderRevision = "Revision"
	// HeaderExpectedRevision is the request header with the revision that a write expects.
	HeaderExpectedRevision = "Expect-Revision"
	// MaxValueBytes is the maximum size of a value that the service accepts.
	MaxValueBytes = 1 << 20

	readTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	// WatchTimeout is how long the service keeps a watch request open without a change.
	WatchTimeout = 30 * time.Second
	// watchTimeoutMargin is added to WatchTimeout to get the timeout of the client's request.
	watchTimeoutMargin = 5 * time.Second
)

type (
	// Client sends requests to the platform, to each of its addresses in turn.
	Client struct {
		addresses   []netip.AddrPort
		http        *http.Client
		nextAddress atomic.Uint64
		// OnCall is called with the operation's name for each request, for metrics. It may be nil.
		OnCall func(operation string)
	}
)

// NewClient returns a client of the platform at these addresses.
func NewClient(addresses []netip.AddrPort) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	return &Client{addresses: addresses, http: &http.Client{Transport: transport}}
}

// Get returns the value of a key, or kv.ErrNotFound.
func (c *Client) Get(ctx context.Context, key kv.Key) (kv.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.read(ctx, "get", "/v1/keys/"+url.PathEscape(string(key)), nil)
}

// Watch waits until the value has a later revision than after and returns it. At the timeout it
// returns kv.ErrNotFound or the value at the unchanged revision.
func (c *Client) Watch(ctx context.Context, key kv.Key, after kv.Revision) (kv.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+watchTimeoutMargin)
	defer cancel()
	query := url.Values{"after": {fmt.Sprint(after)}, "wait": {WatchTimeout.String()}}
	return c.read(ctx, "watch", "/v1/keys/"+url.PathEscape(string(key)), query)
}

// WatchVMs waits until the list of VMs has a later version than after, or the timeout, and
// returns it.
func (c *Client) WatchVMs(ctx context.Context, after uint64) (*kv.VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+watchTimeoutMargin)
	defer cancel()
	query := url.Values{"after": {fmt.Sprint(after)}, "wait": {WatchTimeout.String()}}
	value, err := c.read(ctx, "machines", "/v1/machines", query)
	if err != nil {
		return nil, err
	}
	return kv.ParseVMList(value.Data)
}

// CompareAndSwap writes a value if it is still at the expected revision; zero means that there is
// no value yet. After kv.ErrUnavailable it is unknown whether the write took effect, so that the
// caller has to read the value back.
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
	return request, errs.Wrap(err, "create platform request")
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

// List returns all values whose keys begin with a prefix.
func (c *Client) List(ctx context.Context, prefix kv.Key) (map[kv.Key]kv.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := c.read(ctx, "list", "/v1/keys", url.Values{"prefix": {string(prefix)}})
	if err != nil {
		return nil, err
	}
	var items map[kv.Key]kv.Value
	if err := json.Unmarshal(value.Data, &items); err != nil {
		return nil, errors.Wrap(err, "decode list of values")
	}
	return items, nil
}

// Store returns the client as the interface that package kv uses.
func (c *Client) Store() kv.Store {
	return kv.Store{Get: c.Get, CompareAndSwap: c.CompareAndSwap, Sleep: sleep}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
