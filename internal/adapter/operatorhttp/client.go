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
	// ErrRejected means that a proxy understood the request and refused it.
	ErrRejected = errors.New("refused")
	// ErrNoProxy means that no proxy answered.
	ErrNoProxy = errors.New("no proxy answers")
)

type (
	// Client asks proxies on behalf of an operator.
	Client struct {
		addresses []netip.AddrPort
		scheme    string
		http      *http.Client
	}
)

// NewClient makes a client of the proxies at these operator addresses. With a
// TLS configuration it speaks HTTPS.
func NewClient(addresses []netip.AddrPort, config *tls.Config) *Client {
	c := &Client{addresses: addresses, scheme: "http", http: &http.Client{Timeout: clientTimeout}}
	if config != nil {
		c.scheme = "https"
		c.http.Transport = &http.Transport{TLSClientConfig: config}
	}
	return c
}

// callAny asks one proxy after the other until one answers.
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
			return errors.Wrap(err, "encode")
		}
		body = data
	}
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask proxy")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, data)
	}
	return errs.Wrap(json.Unmarshal(data, responseBody), "decode answer")
}

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

// Status asks one proxy for its status.
func (c *Client) Status(ctx context.Context, address netip.AddrPort) (core.Status, error) {
	var s core.Status
	err := c.call(ctx, address, http.MethodGet, PathStatus, nil, &s)
	return s, err
}

// Events asks one proxy for its event log.
func (c *Client) Events(ctx context.Context, address netip.AddrPort) ([]core.Event, error) {
	var e EventsResponse
	err := c.call(ctx, address, http.MethodGet, PathEvents, nil, &e)
	return e.Events, err
}

// Members asks any proxy for all that it knows.
func (c *Client) Members(ctx context.Context) (MembersResponse, error) {
	var m MembersResponse
	err := c.callAny(ctx, http.MethodGet, PathMembers, nil, &m)
	return m, err
}

// Bundle asks any proxy for the bundle in force.
func (c *Client) Bundle(ctx context.Context) (*operator.Envelope, error) {
	var e operator.Envelope
	err := c.callAny(ctx, http.MethodGet, PathBundle, nil, &e)
	return &e, err
}

// Proposals lists proposed bundles.
func (c *Client) Proposals(ctx context.Context) ([]operator.Envelope, error) {
	var p ProposalsResponse
	err := c.callAny(ctx, http.MethodGet, PathProposals, nil, &p)
	return p.Envelopes, err
}

// Propose stores a proposal, or its approval.
func (c *Client) Propose(ctx context.Context, e *operator.Envelope) error {
	var stored operator.Envelope
	return c.callAny(ctx, http.MethodPost, PathProposals, e, &stored)
}

// Rollout brings a signed bundle into force. Through whichever proxy it goes,
// and however often, the operation takes effect once.
func (c *Client) Rollout(ctx context.Context, e *operator.Envelope) (RolloutResponse, error) {
	var response RolloutResponse
	err := c.callAny(ctx, http.MethodPost, PathRollout, e, &response)
	return response, err
}
