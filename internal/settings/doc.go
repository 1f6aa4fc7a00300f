// Package settings reads and validates the settings file (TOML) of a router process. All faults
// of a file are reported at once, each with its file, its line and how to fix it.
package settings
