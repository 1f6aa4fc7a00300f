// Package publishedtest is a stand-in for the platform's store and a protocol to speak
// with it, for tests.
package publishedtest
