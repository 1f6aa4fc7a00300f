// Package event defines the catalogue of numbered log events and writes them with klog, at a
// bounded rate for each kind of event. docs/EVENTS.md documents each event; a test checks that
// the document matches the catalogue.
package event
