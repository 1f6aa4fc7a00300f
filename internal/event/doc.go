// Package event defines the catalogue of numbered log events, which routers and gateways share, and
// writes them with klog, at a bounded rate for each kind of event. docs/EVENTS.md documents each
// event; a test checks that the document matches the catalogue.
//
// There are two line formats: LogText writes an event with one quoted text, LogFields an event with
// structured fields.
package event
