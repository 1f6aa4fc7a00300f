package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

// The workspaces. Callers send requests of otherWorkspace only with shared contents; its key never changes.
const (
	workspace      = "w"
	otherWorkspace = "w-2"
	otherKey       = "key-of-w-2"
)

// content is what endpoints see of a request, without what differs between attempts: its ID and the position in a stream.
type content struct {
	workspace string
	kind      string // of its route
	query     string
	prompt    string
	body      string
}

// contentOf returns the content of a request that an endpoint has received.
func contentOf(r *http.Request, f platformtest.Forwarded, body []byte) content {
	return content{workspace: f.Workspace, kind: routeOf(r), query: r.URL.RawQuery, prompt: f.Prompt, body: string(body)}
}

// popularContents returns a content for each kind of route.
func popularContents() []content {
	var out []content
	for _, kind := range routeKinds {
		out = append(out, content{workspace: workspace, kind: kind, query: "popular=1", body: "a popular body"})
	}
	return out
}

// twins returns the contents that differ from c in a single part.
func (c content) twins() []content {
	out := []content{c, c, c}
	out[0].workspace = map[string]string{workspace: otherWorkspace, otherWorkspace: workspace}[c.workspace]
	out[1].query += "0"
	out[2].body += " "
	if c.prompt != "" {
		c.prompt += ",f00:10"
		out = append(out, c)
	}
	return out
}

// send makes a content that of a request, instead of one of its own.
func (q *outgoing) send(r *run, c content) {
	q.shared, q.kind = &c, c.kind
	if c.workspace == otherWorkspace {
		q.key = otherKey
	} else {
		q.key = r.currentKey()
	}
}

// contentFor returns the content of a request with an ID.
func (q *outgoing) contentFor(id string) content {
	if q.shared != nil {
		return *q.shared
	}
	return content{workspace: workspace, kind: q.kind, body: fmt.Sprint("body of ", id) + strings.Repeat(" ", q.upload)}
}
