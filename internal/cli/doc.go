// Package cli implements the dandelionvane command line: its commands, their help texts and
// their exit codes.
package cli
