package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Router ports are below the usual ephemeral port range, so that no socket with an automatically assigned port can
// occupy the port of a router that is about to start or restart.
const (
	minRouterPort   = 20_000
	endRouterPort   = 32_000 // exclusive
	maxPortAttempts = 1_000  // per address
)

// assignedPorts is the set of ports that this process has assigned to the routers of all its deployments.
var assignedPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// FreeAddrs returns n loopback addresses whose ports are free for both TCP and UDP and have not been assigned before.
func FreeAddrs(n int) ([]string, error) {
	assignedPorts.Lock()
	defer assignedPorts.Unlock()
	var out []string
	for attempts := 0; len(out) < n; attempts++ {
		if attempts >= maxPortAttempts*n {
			return nil, errors.New("deployment: no free port")
		}
		port := minRouterPort + rand.IntN(endRouterPort-minRouterPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if assignedPorts.ports[port] || !isPortFree(addr) {
			continue
		}
		assignedPorts.ports[port] = true
		out = append(out, addr)
	}
	return out, nil
}

func isPortFree(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = ln.Close() }()
	pc, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = pc.Close()
	return true
}
