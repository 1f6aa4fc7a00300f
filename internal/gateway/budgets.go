package gateway

import "github.com/dandelionvane/dandelionvane/internal/callerconn"

// What the smallest usual instance has. It is assumed where the settings do not say.
const (
	usualMemoryMB = 184
	usualMaxFDs   = 4100
)

const (
	// unadmittedShare is the part of the instance's memory for what callers have sent and nobody has admitted, and for what they do
	// not read.
	unadmittedShare = 4
	// connBytes is the memory of a connection without its head and body: its two buffers of 4 KiB in net/http, the stack of its
	// goroutine, which has 8 KiB once a request was served, and its entries in tables.
	connBytes = 20 << 10
	// connMemoryShare is the part of the memory for unadmitted requests that connections may use; the rest is for heads and bodies.
	connMemoryShare = 2

	// ownFDs, ownFDShare and maxOwnFDs are the descriptors for everything but callers: a fixed number for the store, the log, the
	// listeners and messages to peers, and a part of all of them for pulls, probes and the internal listeners, up to a maximum.
	ownFDs     = 64
	ownFDShare = 8
	maxOwnFDs  = 1024
	// controlShare and internalShare are the parts of these that the connections of the internal listeners may use: a quarter for
	// peers, a twelfth each for the balancer and operators. Neither is more than its part of the connections that the memory allows.
	controlShare        = 4
	internalShare       = 12
	controlMemoryShare  = 8
	internalMemoryShare = 16

	minConns = 4 // of each listener, whatever the settings say
)

// budgets bounds what the process spends on connections that others open.
type budgets struct {
	callers, control, ready, operator int // connections
	memory                            *callerconn.Budget
	bodyShare                         float64 // memory as a part of the smallest usual instance's
}

// newBudgets derives the budgets from the memory and the descriptors of the instance, 0 for unknown.
func newBudgets(memoryMB float64, maxFDs int) budgets {
	if memoryMB <= 0 {
		memoryMB = usualMemoryMB
	}
	if maxFDs <= 0 {
		maxFDs = usualMaxFDs
	}
	unadmitted := int64(memoryMB * (1 << 20) / unadmittedShare)
	own := min(ownFDs+maxFDs/ownFDShare, maxOwnFDs)
	byFDs := (maxFDs - own) / 2 // each request in progress has a connection to an endpoint as well
	byMemory := int(unadmitted / connMemoryShare / connBytes)
	b := budgets{
		callers:  max(min(byFDs, byMemory), minConns),
		control:  max(min(own/controlShare, byMemory/controlMemoryShare), minConns),
		ready:    max(min(own/internalShare, byMemory/internalMemoryShare), minConns),
		operator: max(min(own/internalShare, byMemory/internalMemoryShare), minConns),

		bodyShare: memoryMB / usualMemoryMB,
	}
	conns := int64(b.callers + b.control + b.ready + b.operator)
	b.memory = &callerconn.Budget{Bytes: max(unadmitted-conns*connBytes, unadmitted/unadmittedShare)}
	return b
}
