// Package sse parses and encodes server-sent events (the text/event-stream format of the HTML standard). The reader
// limits the size of an event, which bounds its memory, and the bytes between two events.
package sse
