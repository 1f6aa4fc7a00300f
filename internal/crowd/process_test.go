package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/platform"
	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

// limits are those of the process under test. The bounds that the tests check follow from them: what an instance has.
type limits struct{ memoryMB, descriptors int }

// lowLimits let a small crowd show whether memory and descriptors are bounded.
var lowLimits = limits{memoryMB: 64, descriptors: 256}

const (
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 256 << 10
	headerTimeout  = time.Second
	idleTimeout    = 5 * time.Second
	requestTimeout = 2 * time.Second
)

const (
	key        = "k"
	answerSize = 48 << 10 // of the endpoint
	readyWait  = 20 * time.Second
	answerWait = 5 * time.Second // for an ordinary request, with its repetitions
)

var binary string // path of the program, which is built once for all tests

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "dandelionvane-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "dandelionvane")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/dandelionvane").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// gateway is a gateway process with one endpoint.
type gateway struct {
	t                                 *testing.T
	limits                            limits
	cmd                               *exec.Cmd
	ended                             chan error // gets the result of the process
	callers, ready, control, operator string     // addresses
}

// startGateway starts a process with low limits, an endpoint of the route "idempotent", and waits until it is ready.
func startGateway(t *testing.T) *gateway { return startGatewayWith(t, lowLimits) }

// startGatewayWith starts a process with limits and further endpoints, by the route that they serve.
func startGatewayWith(t *testing.T, l limits, endpoints ...routeEndpoint) *gateway {
	store := platformtest.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	endpoint := httptest.NewServer(http.HandlerFunc(answer))
	t.Cleanup(endpoint.Close)
	store.Write(config(t), platformtest.Endpoint("e-1", "idempotent", strings.TrimPrefix(endpoint.URL, "http://"), "a", false))
	for i, e := range endpoints {
		store.Write(platformtest.Endpoint(fmt.Sprintf("f-%d", i), e.route, e.addr, "a", false))
	}

	const ip = "127.0.77.1"
	ports, err := platformtest.FreePorts(ip, 5)
	if err != nil {
		t.Fatal(err)
	}
	addr := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	g := &gateway{t: t, limits: l, ended: make(chan error, 1), callers: addr(0), ready: addr(1), control: addr(2), operator: addr(4)}
	settings := platformtest.Instance{
		ID: "n-1", DataCentre: "a", IP: ip, Callers: ports[0], Balancer: ports[1], Control: ports[2], Peers: ports[3],
		Seeds: []string{addr(2)}, Store: strings.TrimPrefix(storeServer.URL, "http://"), KeyRevocationDelay: 5 * time.Second,
	}.Settings() + fmt.Sprintf("limits.memory_mb=%d\nlimits.max_fds=%d\n", l.memoryMB, l.descriptors)
	g.start(settings, ports[4])
	for end := time.Now().Add(readyWait); g.status("http://"+g.ready+"/-/ready") != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not ready within %v", readyWait)
		}
	}
	return g
}

// routeEndpoint is an endpoint of the service of a route.
type routeEndpoint struct{ route, addr string }

func (g *gateway) start(settings string, operatorPort int) {
	file := filepath.Join(g.t.TempDir(), "n-1.conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		g.t.Fatal(err)
	}
	g.cmd = exec.Command(binary, "gateway", "--metrics-port", strconv.Itoa(operatorPort))
	g.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	if err := g.cmd.Start(); err != nil {
		g.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		g.ended <- g.cmd.Wait()
		close(done)
	}()
	g.t.Cleanup(func() {
		_ = g.cmd.Process.Kill() // fails only if it has ended
		<-done
	})
}

// config returns a configuration that publishes the limits of these tests.
func config(t *testing.T) (item published.Item) {
	item = platformtest.ConfigEntry{Version: 1, Timeout: requestTimeout, Keys: []string{key}}.Item()
	value := map[string]any{}
	if err := json.Unmarshal(item.Value, &value); err != nil {
		t.Fatal(err)
	}
	value["limits"] = map[string]any{
		"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes,
		"header_timeout_ms": headerTimeout.Milliseconds(), "idle_timeout_ms": idleTimeout.Milliseconds(),
	}
	var err error
	if item.Value, err = json.Marshal(value); err != nil {
		t.Fatal(err)
	}
	return item
}

// answer is the endpoint's handler.
func answer(w http.ResponseWriter, r *http.Request) {
	platformtest.StampResponse(w.Header(), platformtest.ReadForwarded(r.Header).ID)
	_, _ = io.WriteString(w, strings.Repeat("x", answerSize))
}

// status sends an ordinary request on a new connection and returns the status of the whole answer, or 0.
func (g *gateway) status(url string) int {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		g.t.Fatal(err)
	}
	platformtest.SetCallerHeaders(r, "ordinary", key, requestTimeout)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerWait}).Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// expectAnswer checks that an ordinary request is answered. It is repeated, as callers do, after a refusal.
func (g *gateway) expectAnswer(url string) {
	g.t.Helper()
	status := 0
	for end := time.Now().Add(answerWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status = g.status(url); status == http.StatusOK {
			return
		}
	}
	g.t.Errorf("an ordinary request is not answered within %v, last status %d", answerWait, status)
}

// expectAlive checks that the process lives.
func (g *gateway) expectAlive() {
	g.t.Helper()
	select {
	case err := <-g.ended:
		g.t.Fatalf("the process has ended: %v", err)
	default:
	}
}

// descriptors returns how many descriptors the process has open.
func (g *gateway) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended
	}
	return len(entries)
}

// peakMemoryMB returns the largest resident memory that the process has had.
func (g *gateway) peakMemoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		g.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kB, err := strconv.Atoi(strings.Fields(rest + " -")[0])
	if err != nil {
		g.t.Fatalf("no VmHWM: %v", err)
	}
	return kB >> 10
}
