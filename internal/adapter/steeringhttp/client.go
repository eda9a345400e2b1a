package steeringhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
)

const (
	clientTimeout = 3 * time.Second
	// summaryParameter is the query parameter of PathStatus for a summary.
	summaryParameter = "summary"
)

type (
	// Client queries proxies.
	Client struct {
		HTTPClient *http.Client
	}
)

// NewClient returns a client with a request timeout.
func NewClient() *Client { return &Client{HTTPClient: &http.Client{Timeout: clientTimeout}} }

// Status returns the status of a proxy.
func (c *Client) Status(ctx context.Context, proxy netip.AddrPort) (Status, error) {
	var s Status
	err := c.get(ctx, "http://"+proxy.String()+PathStatus, &s)
	return s, err
}

// Summary returns the status of a proxy without proxies, routes and the backend servers that signal
// nothing. A proxy of an earlier version includes them.
func (c *Client) Summary(ctx context.Context, proxy netip.AddrPort) (Status, error) {
	var s Status
	err := c.get(ctx, "http://"+proxy.String()+PathStatus+"?"+summaryParameter, &s)
	s.ServerCount = max(s.ServerCount, len(s.Servers))
	return s, err
}

// Events returns the decisions of a proxy about a request, or all if request is empty.
func (c *Client) Events(ctx context.Context, proxy netip.AddrPort, request string) ([]Event, error) {
	var list []Event
	query := url.Values{}
	if request != "" {
		query.Set("request", request)
	}
	err := c.get(ctx, "http://"+proxy.String()+PathEvents+"?"+query.Encode(), &list)
	return list, err
}

func (c *Client) get(ctx context.Context, target string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request to proxy")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("proxy responded with status %d", response.StatusCode)
	}
	return errs.Wrap(json.NewDecoder(response.Body).Decode(out), "decode response")
}
