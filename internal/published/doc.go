// Package published replicates the platform's key-value store in a gateway: routes, endpoints and
// data centres that are out of service. Routers use package feed instead.
//
// The store orders all writes by one revision. A Client lists a snapshot of all items, and then polls
// for the writes after a revision. A Mirror applies them and keeps tombstones of deleted keys, so that
// it can send other mirrors the changes that they lack. Mirrors can thus replicate from one another.
// Mirrors at the same revision hold the same decoded content. A Protocol decodes the items.
package published
