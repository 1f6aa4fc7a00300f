package wire

import "encoding/binary"

// Signature authenticates a message between gateways or a part of one. See package msgauth.
type Signature struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64   // rises with each message of the sender's process to the receiver; 0: the signature is of content
	KeyID    uint32
	MAC      []byte
}

// AppendSigned appends what the signature of an update covers: all other fields. It is the same for equal updates.
func (u *StoreUpdate) AppendSigned(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(u.Revision))
	b = appendBool(b, u.Snapshot)
	b = binary.BigEndian.AppendUint64(b, uint64(u.After))
	b = appendBool(b, u.TooLarge)
	for i := range u.Items {
		it := &u.Items[i]
		b = binary.BigEndian.AppendUint64(b, uint64(len(it.Key)))
		b = append(b, it.Key...)
		b = binary.BigEndian.AppendUint64(b, uint64(len(it.Value)))
		b = append(b, it.Value...)
		b = binary.BigEndian.AppendUint64(b, uint64(it.Revision))
		b = appendBool(b, it.Deleted)
	}
	return b
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}
