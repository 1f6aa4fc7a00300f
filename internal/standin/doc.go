// Package standin holds what the stand-ins share: fakes of the platform and the endpoints, and a
// fault-injecting proxy (package link). Tests, the demo and the load runs use them; no router code
// imports them.
package standin
