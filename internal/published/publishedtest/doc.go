// Package publishedtest provides an in-memory store and its protocol for tests of package
// published.
package publishedtest
