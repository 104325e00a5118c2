package directory

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxResponseBytes bounds the size of a directory response that is read.
const maxResponseBytes = 1 << 20

// Client queries the directory for a client program and caches the response. It is
// safe for concurrent use.
type Client struct {
	// Seeds are the base URLs of the entry instances to query first.
	Seeds []string
	// BearerKey is the API key sent in the Authorization header. FailureDomain is
	// where the client program runs; empty if unknown.
	BearerKey     string
	FailureDomain string
	HTTP          *http.Client

	mu      sync.Mutex
	entries []string
	// failed holds the addresses that were marked as failed since the last response.
	failed    map[string]bool
	expiresAt time.Time
}

// Entries returns the base URLs of the entry instances to use, best first. It queries
// the directory again once the last response has expired or all its addresses have
// failed. If no entry instance answers, it returns the last known addresses, and an
// error only if there are none.
func (c *Client) Entries(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := c.usable()
	if len(usable) > 0 && time.Now().Before(c.expiresAt) {
		return usable, nil
	}
	err := c.refresh(ctx)
	if err == nil {
		return c.usable(), nil
	}
	if len(c.entries) > 0 {
		return slices.Clone(c.entries), nil
	}
	return nil, err
}

// MarkFailed records that an address could not be reached, or refused a request with
// "not run". Entries omits the address until the next response.
func (c *Client) MarkFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = make(map[string]bool)
	}
	c.failed[address] = true
}

// usable returns the last known addresses that have not failed.
func (c *Client) usable() []string {
	return slices.DeleteFunc(slices.Clone(c.entries), func(a string) bool { return c.failed[a] })
}

// refresh queries the known entries, then the seeds, until one answers.
func (c *Client) refresh(ctx context.Context) error {
	lastErr := eris.New("no entry instance is known")
	for _, address := range slices.Concat(c.usable(), c.entries, c.Seeds) {
		answer, err := c.query(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		c.entries = c.entries[:0]
		for _, e := range answer.Entries {
			c.entries = append(c.entries, e.URL)
		}
		c.failed = nil
		c.expiresAt = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
		return nil
	}
	return eris.Wrap(lastErr, "query directory")
}

// query requests the directory's response from one entry instance.
func (c *Client) query(ctx context.Context, address string) (*Response, error) {
	target := address + Path
	if c.FailureDomain != "" {
		target += "?" + url.Values{QueryFailureDomain: {c.FailureDomain}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "entry %s", address)
	}
	request.Header.Set("Authorization", "Bearer "+c.BearerKey)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "entry %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("entry %s: status %d", address, response.StatusCode)
	}
	var answer Response
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&answer); err != nil {
		return nil, eris.Wrapf(err, "entry %s", address)
	}
	if len(answer.Entries) == 0 {
		return nil, eris.Errorf("entry %s returned an empty list", address)
	}
	return &answer, nil
}
