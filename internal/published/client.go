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
	callTimeout    = time.Second
)

// maxResponseBytes bounds one response: a configuration of a megabyte in base64 plus other items.
const maxResponseBytes = 8 << 20

// Bounds on all pages of one list together. The store's pages have up to about 500 items or a megabyte.
const (
	maxListBytes = 2 * maxResponseBytes
	maxListPages = 256
)

// ErrListTooLarge reports a list that exceeds a bound, or whose pages do not follow one another.
var ErrListTooLarge = errors.New("published: the list of the store is too large or has no end")

// ErrHistoryGone reports that the store no longer has the history of writes after a revision.
var ErrHistoryGone = errors.New("published: the revision is older than the history of the store")

// StatusError is a response of the store with a status other than 200 and 410.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return "published: unexpected response of the store: " + http.StatusText(e.Status)
}

// Client reads the store. It is safe for concurrent use if its Protocol is.
type Client struct {
	base     string
	protocol Protocol
	http     *http.Client
}

// NewClient returns a client of the store at addr (IP:port).
func NewClient(addr string, p Protocol) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		base:     "http://" + addr,
		protocol: p,
		http: httpcall.NewClient(&http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1,
		}),
	}
}

// Update is the result of a successful read.
type Update struct {
	Revision  fleet.Revision   // revision of the store
	Confirmed boottime.Instant // when the request was sent: all writes made before it are included
	Snapshot  bool             // Items holds all items of the store
	Coalesced bool             // intermediate writes of a key may be missing in Items
	Items     []Item
}

// Read reads a snapshot of all items, or the writes after a revision.
func (c *Client) Read(ctx context.Context, snapshot bool, after fleet.Revision) (Update, error) {
	sent := boottime.Now()
	read := func() (Page, error) { return c.Changes(ctx, after) }
	if snapshot {
		read = func() (Page, error) { return c.List(ctx) }
	}
	p, err := read()
	return Update{Revision: p.Revision, Confirmed: sent, Snapshot: snapshot, Coalesced: snapshot, Items: p.Items}, err
}

// List returns the items of all pages, followed by the writes after the first page's revision if
// there is more than one page, because the pages are read at different revisions. A key may then
// occur several times; for each key, the item with the highest revision is the content at the
// returned revision.
func (c *Client) List(ctx context.Context) (Page, error) {
	left := listBounds{bytes: maxListBytes, pages: maxListPages}
	page, err := c.listPage(ctx, "", &left)
	if err != nil || !page.More || len(page.Items) == 0 {
		return page, err
	}
	for more := true; more; {
		next, err := c.listPage(ctx, page.Items[len(page.Items)-1].Key, &left)
		if err != nil {
			return Page{}, err
		}
		page.Items = append(page.Items, next.Items...)
		more = next.More && len(next.Items) > 0
	}
	changes, err := c.Changes(ctx, page.Revision)
	if err != nil {
		return Page{}, err
	}
	return Page{Revision: changes.Revision, Items: append(page.Items, changes.Items...)}, nil
}

// listBounds is what the further pages of a list may have.
type listBounds struct{ bytes, pages int }

// take subtracts a page, and returns false if it exceeds the bounds.
func (l *listBounds) take(bytes int) bool {
	l.bytes -= bytes
	l.pages--
	return l.bytes >= 0 && l.pages >= 0
}

// listPage returns the page after a key. If another one follows, its last key comes after that key.
func (c *Client) listPage(ctx context.Context, after string, left *listBounds) (Page, error) {
	body, era, err := c.fetch(ctx, c.protocol.ListPath(after))
	if err != nil {
		return Page{}, err
	}
	if !left.take(len(body)) {
		return Page{}, ErrListTooLarge
	}
	p, err := c.protocol.DecodeList(body)
	if err == nil && p.More && len(p.Items) > 0 && p.Items[len(p.Items)-1].Key <= after {
		return Page{}, ErrListTooLarge
	}
	return p.inEra(era), err
}

// Changes returns the writes after a revision. If that is of an earlier era, it returns ErrHistoryGone.
func (c *Client) Changes(ctx context.Context, after fleet.Revision) (Page, error) {
	body, era, err := c.fetch(ctx, c.protocol.ChangesPath(StoreRevision(after), 0))
	if err != nil {
		return Page{}, err
	}
	if era != EraOf(after) {
		return Page{}, ErrHistoryGone
	}
	p, err := c.protocol.DecodeChanges(body)
	return p.inEra(era), err
}

// inEra returns the page with its revisions in an era.
func (p Page) inEra(era uint64) Page {
	p.Revision = InEra(era, p.Revision)
	for i := range p.Items {
		p.Items[i].Revision = InEra(era, p.Items[i].Revision)
		p.Items[i].Created = InEra(era, p.Items[i].Created)
	}
	return p
}

// fetch returns the body of a response and the store's era.
func (c *Client) fetch(ctx context.Context, path string) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := httpcall.Get(ctx, c.http, c.base+path, maxResponseBytes)
	switch {
	case err != nil:
		// The connection may be unusable; the next request opens a new one.
		c.http.CloseIdleConnections()
		return nil, 0, errors.Wrap(err, "published")
	case resp.Status == http.StatusGone:
		return nil, 0, ErrHistoryGone
	case resp.Status != http.StatusOK:
		return nil, 0, &StatusError{Status: resp.Status}
	}
	return resp.Body, c.protocol.ReadEra(resp.Header), nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
