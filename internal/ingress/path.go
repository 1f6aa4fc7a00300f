package ingress

import (
	"net/url"
	"strings"
)

// encodedSlash is a slash that belongs to a segment of a path and does not separate two.
const encodedSlash = "%2F"

// routePath returns the path by which the route of a request is chosen: decoded, but for encoded slashes. Endpoints get the
// path as it was sent, in which an encoded slash does not begin a new segment.
func routePath(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path
	}
	parts := strings.Split(strings.ReplaceAll(u.RawPath, "%2f", encodedSlash), encodedSlash)
	for i, p := range parts {
		decoded, err := url.PathUnescape(p)
		if err != nil {
			return u.RawPath // not reached: net/url has decoded the whole path
		}
		parts[i] = decoded
	}
	return strings.Join(parts, encodedSlash)
}
