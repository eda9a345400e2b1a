package operatorhttp

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	clientTimeout    = 15 * time.Second
	maxResponseBytes = 32 << 20
)

var (
	// ErrRejected means that a proxy understood the request and rejected it.
	ErrRejected = errors.New("request rejected")
	// ErrNoProxy means that no proxy responded.
	ErrNoProxy = errors.New("no proxy responded")
)

type (
	// Client sends an operator's requests to proxies.
	Client struct {
		addresses []netip.AddrPort
		scheme    string
		http      *http.Client
	}
)

// NewClient returns a client of the proxies at these operator addresses. It uses HTTPS if config
// isn't nil.
func NewClient(addresses []netip.AddrPort, config *tls.Config) *Client {
	c := &Client{addresses: addresses, scheme: "http", http: &http.Client{Timeout: clientTimeout}}
	if config != nil {
		c.scheme = "https"
		c.http.Transport = &http.Transport{TLSClientConfig: config}
	}
	return c
}

// callAny sends the request to one proxy after another until one accepts or rejects it.
func (c *Client) callAny(ctx context.Context, method, path string, requestBody, responseBody any) error {
	var lastErr error
	for _, address := range c.addresses {
		err := c.call(ctx, address, method, path, requestBody, responseBody)
		if err == nil || errors.Is(err, ErrRejected) {
			return err
		}
		lastErr = err
	}
	return errors.Wrapf(ErrNoProxy, "%v", lastErr)
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, method, path string, requestBody, responseBody any) error {
	var body []byte
	if requestBody != nil {
		data, err := json.Marshal(requestBody)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = data
	}
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request to proxy")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, data)
	}
	return errs.Wrap(json.Unmarshal(data, responseBody), "decode response")
}

// responseError returns the error of an unsuccessful response. Server errors don't count as
// rejections, so that callAny tries the next proxy.
func responseError(status int, data []byte) error {
	var f ErrorResponse
	if err := json.Unmarshal(data, &f); err != nil || f.Error == "" {
		f.Error = http.StatusText(status)
	}
	if status >= http.StatusInternalServerError {
		return errors.New(f.Error)
	}
	return errors.Wrap(ErrRejected, f.Error)
}

// Status returns the status of a proxy.
func (c *Client) Status(ctx context.Context, address netip.AddrPort) (core.Status, error) {
	var s core.Status
	err := c.call(ctx, address, http.MethodGet, PathStatus, nil, &s)
	return s, err
}

// Events returns the event log of a proxy.
func (c *Client) Events(ctx context.Context, address netip.AddrPort) ([]core.Event, error) {
	var e EventsResponse
	err := c.call(ctx, address, http.MethodGet, PathEvents, nil, &e)
	return e.Events, err
}

// Members returns the proxies that any one proxy knows.
func (c *Client) Members(ctx context.Context) (MembersResponse, error) {
	var m MembersResponse
	err := c.callAny(ctx, http.MethodGet, PathMembers, nil, &m)
	return m, err
}

// Bundle returns the envelope of the current bundle from any proxy.
func (c *Client) Bundle(ctx context.Context) (*operator.Envelope, error) {
	var e operator.Envelope
	err := c.callAny(ctx, http.MethodGet, PathBundle, nil, &e)
	return &e, err
}

// Proposals returns the proposed bundles.
func (c *Client) Proposals(ctx context.Context) ([]operator.Envelope, error) {
	var p ProposalsResponse
	err := c.callAny(ctx, http.MethodGet, PathProposals, nil, &p)
	return p.Envelopes, err
}

// Propose stores a proposal or its approval.
func (c *Client) Propose(ctx context.Context, e *operator.Envelope) error {
	var stored operator.Envelope
	return c.callAny(ctx, http.MethodPost, PathProposals, e, &stored)
}

// Rollout rolls out a signed bundle. The operation takes effect once, even if it is retried or sent
// through several proxies.
func (c *Client) Rollout(ctx context.Context, e *operator.Envelope) (RolloutResponse, error) {
	var response RolloutResponse
	err := c.callAny(ctx, http.MethodPost, PathRollout, e, &response)
	return response, err
}
