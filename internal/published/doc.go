// Package published replicates what the platform's store publishes: routes, endpoints and data
// centres that are out of service.
//
// The store orders all writes by one revision. A Client reads a snapshot of all items, or the
// writes after a revision. A Mirror applies them and sends other mirrors the changes that they
// lack. A Protocol decodes the items.
package published
