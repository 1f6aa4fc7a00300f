// Package lists parses and validates the operators' lists, which are TOML documents: the plans of
// the workspaces, the entitlements of each plan, and the service state of data centres and endpoints.
// The three lists form one configuration: an error in any of them rejects the configuration.
package lists
