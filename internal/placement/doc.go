// Package placement ranks the endpoints that may serve a request by rendezvous hashing.
//
// All routers compute the same ranking for a chat, and adding or removing an endpoint moves
// only the chats that are placed on it. Each response carries a hint that names the endpoint
// that served it, and the caller sends the hint with the next turn. A chat that was placed on
// a lower-ranked endpoint for lack of capacity thus stays where its prefix is cached. A hint
// only selects among the endpoints that the workspace's plan allows: a stale or forged one
// costs cache reuse, nothing else.
package placement
