// Package published reads what the platform's store publishes: routes, endpoints and
// data centres that are taken out of service.
//
// The store orders its changes by one revision. A Follower lists all items once and
// then asks for changes; when the store no longer has the history since the last
// revision, it lists again. What the items mean is the Protocol's business.
package published
