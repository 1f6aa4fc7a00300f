// Package msgauth authenticates messages between gateways with keys that are derived from the API keys of the
// published configuration. Whoever can send messages but cannot read the platform's store knows none of these keys,
// or only its own, and cannot sign.
//
// What it proves: the process that signed a message knew all API keys of a recent configuration; the message was
// signed for the receiver's present process; and the receiver has not accepted it before. It does not prove which
// gateway signed, since all have the same key, nor when: a message that was held back is accepted later, once. The
// signature of content, such as changes of the store, proves only the first of these; content may be repeated, and its
// revisions tell which is the later one.
//
// Limits. The key is as hard to guess as the least known API key: a configuration whose API keys are all known to one
// caller does not protect against that caller. Whoever chooses the configuration that a Keyring adopts chooses the key.
// Its user must therefore find out whether a configuration is that of the store; a seed's fingerprints help.
//
// Replays. Incarnations of gateways are random and have no order, and the time of day may jump, so neither tells
// which of two messages is the later one. Instead, a signature covers the receiver's incarnation. A message recorded
// before the receiver's process started is therefore refused by it, unless the two random incarnations are equal
// (1 in 2^32). Those since then are refused by their sequence numbers, for each process of the sender.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package msgauth
