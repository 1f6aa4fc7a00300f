// Package placement ranks the endpoints that may serve a request by rendezvous hashing.
//
// All routers of a data centre with the same view compute the same ranking for a chat, and adding or
// removing an endpoint moves only the chats that rank it first, except where a data centre reaches
// or falls below minLocalEndpoints. Each response carries a hint that names the endpoint that served
// it, and the caller sends the hint with the next turn. A chat that was placed on a lower-ranked
// endpoint for lack of capacity thus stays where its prefix is cached. A hint only
// selects among the endpoints that the workspace's plan allows, so a stale or forged hint can only
// reduce cache reuse.
package placement
