// Package routing holds the published routes, services and workspaces, and finds the
// route of a request and the workspace of a key.
//
// A Config is what operators published at one version. A Table is its index; it is
// immutable and safe for concurrent reads.
package routing
