package published

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	connectTimeout = 300 * time.Millisecond // the store is in the same region
	callTimeout    = time.Second            // of a call beyond the wait that it asks for
)

// maxAnswerBytes bounds one answer: a value of a megabyte in base64 with some others.
const maxAnswerBytes = 8 << 20

// ErrHistoryGone reports that the store no longer knows what changed since a revision.
var ErrHistoryGone = errors.New("published: the store's history does not reach back to the revision")

// StatusError is an answer of the store other than 200 and 410.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return "published: the store answered " + http.StatusText(e.Status)
}

// Client calls the store. One goroutine uses it.
type Client struct {
	base     string
	protocol Protocol
	http     *http.Client
}

// NewClient returns a client of the store at IP:port. A call, with the wait that it
// asks for, takes at most timeout longer than that wait.
func NewClient(addr string, p Protocol) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		base:     "http://" + addr,
		protocol: p,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1,
		}},
	}
}

// Update is what one successful read brought.
type Update struct {
	Revision  fleet.Revision   // of the store
	Confirmed boottime.Instant // when the call was sent: what was published by then is not missing
	Whole     bool             // Items hold everything there is
	Items     []Item
}

// Read reads all items, or what changed after a revision.
func (c *Client) Read(ctx context.Context, whole bool, after fleet.Revision) (Update, error) {
	sent := boottime.Now()
	read := func() (Page, error) { return c.Changes(ctx, after, 0) }
	if whole {
		read = func() (Page, error) { return c.List(ctx) }
	}
	p, err := read()
	return Update{Revision: p.Revision, Confirmed: sent, Whole: whole, Items: p.Items}, err
}

// List returns all items and the store's revision before the first was read, so that
// changes after it bring up to date what changed between two pages.
func (c *Client) List(ctx context.Context) (Page, error) {
	var all Page
	after := ""
	for {
		p, err := c.page(ctx, after)
		if err != nil {
			return Page{}, err
		}
		if after == "" {
			all.Revision = p.Revision
		}
		all.Items = append(all.Items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return all, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

func (c *Client) page(ctx context.Context, after string) (Page, error) {
	body, err := c.get(ctx, c.protocol.ListPath(after), callTimeout)
	if err != nil {
		return Page{}, err
	}
	return c.protocol.DecodeList(body)
}

// Changes returns what changed after a revision.
func (c *Client) Changes(ctx context.Context, after fleet.Revision, wait time.Duration) (Page, error) {
	body, err := c.get(ctx, c.protocol.ChangesPath(after, wait), wait+callTimeout)
	if err != nil {
		return Page{}, err
	}
	return c.protocol.DecodeChanges(body)
}

func (c *Client) get(ctx context.Context, path string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "published: build call")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		// A connection on which an answer is lost returns nothing further.
		c.http.CloseIdleConnections()
		return nil, errors.Wrap(err, "published: call")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return nil, ErrHistoryGone
	default:
		return nil, &StatusError{Status: resp.StatusCode}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "published: read answer")
	}
	if len(b) > maxAnswerBytes {
		return nil, errors.New("published: answer too large")
	}
	return b, nil
}

// Close drops the kept connection.
func (c *Client) Close() { c.http.CloseIdleConnections() }
