// Package platform reads and watches the feeds that the platform publishes.
//
// Each feed is read once at startup, and then watched by long polling while the core enables it.
// The core enables it on few routers at a time, because the platform limits the rate of calls. A
// value becomes an event only if its revision is higher than that of every value read before.
package platform
