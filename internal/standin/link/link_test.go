package link

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEcho starts a proxy in front of an echo server.
func startEcho(t *testing.T, network string) *Link {
	t.Helper()
	echo := func(c net.Conn) {
		buf := make([]byte, 100)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			_, _ = c.Write(buf[:n])
		}
	}
	targetAddr, stop := "", func() error { return nil }
	if network == "tcp" {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		targetAddr, stop = ln.Addr().String(), ln.Close
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				go echo(c)
			}
		}()
	} else {
		pc, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		targetAddr, stop = pc.LocalAddr().String(), pc.Close
		go func() {
			buf := make([]byte, 100)
			for n, from, err := pc.ReadFrom(buf); err == nil; n, from, err = pc.ReadFrom(buf) {
				_, _ = pc.WriteTo(buf[:n], from)
			}
		}()
	}
	l, err := Start(network, "127.0.0.1:0", targetAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = l.Close()
		_ = stop()
	})
	return l
}

func dial(t *testing.T, network string, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial(network, l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const (
	echoed = "echoed"
	broken = "broken"
	silent = "silent"
)

// echoResult sends a message and returns echoed, broken if the connection is broken, silent if no reply
// came within the timeout, or else the reply.
func echoResult(c net.Conn, timeout time.Duration) string {
	_, _ = c.Write([]byte("hello"))
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	buf := make([]byte, 100)
	n, err := c.Read(buf)
	if nerr, ok := err.(net.Error); ok && nerr.Timeout() {
		return silent
	}
	if err != nil {
		return broken
	}
	if string(buf[:n]) != "hello" {
		return string(buf[:n])
	}
	return echoed
}

func TestFaults(t *testing.T) {
	const (
		longTimeout  = 20 * time.Second
		shortTimeout = 100 * time.Millisecond
	)
	for _, tc := range []struct {
		name, network string
		faults        Faults
		old, new      string
		recovered     string // of the old connection after the fault ends
	}{
		{"none", "tcp", Faults{}, echoed, echoed, echoed},
		{"none", "udp", Faults{}, echoed, echoed, echoed},
		{"cut", "tcp", Faults{Cut: true}, broken, broken, broken},
		{"cut", "udp", Faults{Cut: true}, silent, silent, echoed},
		{"silent", "tcp", Faults{Silent: true}, silent, echoed, silent},
		{"silent", "udp", Faults{Silent: true}, silent, echoed, silent},
	} {
		t.Run(tc.network+" "+tc.name, func(t *testing.T) {
			l := startEcho(t, tc.network)
			expect := func(what string, c net.Conn, want string) {
				t.Helper()
				timeout := longTimeout
				if want == silent {
					timeout = shortTimeout
				}
				if got := echoResult(c, timeout); got != want {
					t.Errorf("%s connection: %s, want %s", what, got, want)
				}
			}
			old := dial(t, tc.network, l)
			expect("fresh", old, echoed)
			l.Inject(tc.faults)
			expect("old", old, tc.old)
			expect("new", dial(t, tc.network, l), tc.new)
			l.Inject(Faults{})
			expect("old, recovered", old, tc.recovered)
		})
	}
}

func TestDelayHoldsBothDirections(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		l := startEcho(t, network)
		l.Inject(Faults{Delay: 30 * time.Millisecond})
		begin := time.Now()
		if got := echoResult(dial(t, network, l), 20*time.Second); got != echoed || time.Since(begin) < 60*time.Millisecond {
			t.Errorf("%s: %s after %s", network, got, time.Since(begin))
		}
	}
}

// TestResetIsPassedOn guards against a reset of the target's connection that reaches the client as a plain end, also while data is sent to the target.
func TestResetIsPassedOn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			_, _ = c.Read(make([]byte, 100))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	l, err := Start("tcp", "127.0.0.1:0", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, size := range []int{1, 1 << 20} {
		for range 20 {
			c, err := net.Dial("tcp", l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			wrote := make(chan error, 1)
			go func() {
				_, err := c.Write(make([]byte, size))
				wrote <- err
			}()
			_, readErr := c.Read(make([]byte, 1))
			if err := <-wrote; !errors.Is(readErr, syscall.ECONNRESET) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
				t.Errorf("%d bytes sent: read %v, write %v", size, readErr, err)
			}
			_ = c.Close()
		}
	}
}
