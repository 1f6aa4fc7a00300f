package wire

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// Outgoing is a message and its destination.
type Outgoing struct {
	To      fleet.InstanceID
	Message Message
}

// Outbox collects the messages that a state machine sends, in order.
type Outbox struct{ Messages []Outgoing }

// Send appends a message.
func (o *Outbox) Send(to fleet.InstanceID, m Message) {
	o.Messages = append(o.Messages, Outgoing{To: to, Message: m})
}

// Reset empties the outbox and retains its allocated memory.
func (o *Outbox) Reset() { o.Messages = o.Messages[:0] }
