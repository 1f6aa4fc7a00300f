// Package standin holds what the stand-ins (fakes) of the platform, the endpoints and the
// network links share. They are used by tests and the demo only; no router code imports them.
package standin
