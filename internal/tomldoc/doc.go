// Package tomldoc decodes hand-written TOML documents and reports all faults of a
// document at once, each with its line and how to fix it.
//
// The decoder of the TOML library stops at the first value of a wrong type. Decode
// uses the library as a parser only, stores the values in a struct itself, and records
// the line of each key, so that later validation can report lines as well.
package tomldoc
