// Package routing holds the published routes, services and workspaces. It finds the route of
// a request by host and longest path prefix, and the workspace of an API key.
//
// A Config is one version of the published configuration. A Table is its index; it is
// immutable and safe for concurrent reads.
package routing
