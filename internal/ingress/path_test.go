package ingress

import (
	"net/url"
	"testing"
)

// TestRouteOfEncodedSlash guards against a request that is handled by the route of another prefix, which may be repeated, because
// an encoded slash is taken for the end of a segment.
func TestRouteOfEncodedSlash(t *testing.T) {
	for target, want := range map[string]string{
		"/yard/look/7":       "/yard/look/7",
		"/yard/look%2F7":     "/yard/look%2F7",
		"/yard/look%2f7":     "/yard/look%2F7",
		"/y%61rd/look%2F%37": "/yard/look%2F7",
		"/y%61rd/look/7":     "/yard/look/7",
		"/yard/%252F":        "/yard/%2F",
		"/yard/look%2F7?x=/": "/yard/look%2F7",
	} {
		u, err := url.ParseRequestURI(target)
		if err != nil {
			t.Fatal(err)
		}
		if got := routePath(u); got != want {
			t.Errorf("%s: route path %q, want %q", target, got, want)
		}
	}
}
