package published

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/httpcall"
)

const (
	connectTimeout = 300 * time.Millisecond // the store is in the same region
	callTimeout    = time.Second            // of a call
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

// NewClient returns a client of the store at IP:port.
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
	Snapshot  bool             // Items hold everything there is
	Coalesced bool             // of several writes of a key, only the last is in Items
	Items     []Item
}

// Read reads all items, or what changed after a revision.
func (c *Client) Read(ctx context.Context, whole bool, after fleet.Revision) (Update, error) {
	sent := boottime.Now()
	read := func() (Page, error) { return c.Changes(ctx, after) }
	if whole {
		read = func() (Page, error) { return c.List(ctx) }
	}
	p, err := read()
	return Update{Revision: p.Revision, Confirmed: sent, Snapshot: whole, Coalesced: whole, Items: p.Items}, err
}

// List returns all items as of one revision. Pages are of different moments: what changed
// since the first of several is read after the last, and follows their items.
func (c *Client) List(ctx context.Context) (Page, error) {
	all, err := c.page(ctx, "")
	if err != nil || !all.More || len(all.Items) == 0 {
		return all, err
	}
	for more := true; more; {
		p, err := c.page(ctx, all.Items[len(all.Items)-1].Key)
		if err != nil {
			return Page{}, err
		}
		all.Items = append(all.Items, p.Items...)
		more = p.More && len(p.Items) > 0
	}
	since, err := c.Changes(ctx, all.Revision)
	if err != nil {
		return Page{}, err
	}
	return Page{Revision: since.Revision, Items: append(all.Items, since.Items...)}, nil
}

func (c *Client) page(ctx context.Context, after string) (Page, error) {
	body, err := c.get(ctx, c.protocol.ListPath(after))
	if err != nil {
		return Page{}, err
	}
	return c.protocol.DecodeList(body)
}

// Changes returns what changed after a revision.
func (c *Client) Changes(ctx context.Context, after fleet.Revision) (Page, error) {
	body, err := c.get(ctx, c.protocol.ChangesPath(after, 0))
	if err != nil {
		return Page{}, err
	}
	return c.protocol.DecodeChanges(body)
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := httpcall.Get(ctx, c.http, c.base+path, maxAnswerBytes)
	switch {
	case err != nil:
		// A connection on which an answer is lost returns nothing further.
		c.http.CloseIdleConnections()
		return nil, errors.Wrap(err, "published")
	case a.Status == http.StatusGone:
		return nil, ErrHistoryGone
	case a.Status != http.StatusOK:
		return nil, &StatusError{Status: a.Status}
	}
	return a.Body, nil
}

// Close drops the kept connection.
func (c *Client) Close() { c.http.CloseIdleConnections() }
