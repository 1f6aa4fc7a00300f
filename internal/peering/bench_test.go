package peering

import (
	"fmt"
	"net"
	"runtime"
	"testing"
)

const benchPeers = 100

func listenLoopback(b *testing.B) net.PacketConn {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return c
}

func heapAndStackBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkConnections opens a connection to each of many peers. It reports the memory of one
// connection, both ends together, and the bytes on the wire for opening it and sending one frame.
func BenchmarkConnections(b *testing.B) {
	ca := newTestCA(b)
	center := newNode(b, ca.config(b, "center"), "center", listenLoopback(b), nil)
	defer center.Close()
	var peers []*node
	for i := range benchPeers {
		id := fmt.Sprintf("peer-%d", i)
		n := newNode(b, ca.config(b, id), id, listenLoopback(b), nil)
		defer n.Close()
		peers = append(peers, n)
	}
	for round := range b.N {
		heldBefore := heapAndStackBytes()
		traffic := center.Stats()
		for i, n := range peers {
			center.send(fmt.Sprintf("peer-%d", i), n, frame("x", 100))
			<-n.frames
		}
		after := center.Stats()
		if round == 0 { // later rounds replace connections whose memory may not have been freed
			b.ReportMetric(float64(heapAndStackBytes()-heldBefore)/benchPeers, "heldB/conn")
		}
		b.ReportMetric(float64(after.BytesOut-traffic.BytesOut+after.BytesIn-traffic.BytesIn)/benchPeers, "wireB/conn")
		b.StopTimer()
		center.closeConnections()
		b.StartTimer()
	}
}

// BenchmarkFrames exchanges small frames over one connection.
func BenchmarkFrames(b *testing.B) {
	ca := newTestCA(b)
	x := newNode(b, ca.config(b, "x"), "x", listenLoopback(b), nil)
	defer x.Close()
	y := newNode(b, ca.config(b, "y"), "y", listenLoopback(b), nil)
	defer y.Close()
	x.send("y", y, frame("x", 60))
	<-y.frames
	before := x.Stats()
	for b.Loop() {
		x.send("y", y, frame("x", 60))
		<-y.frames
		y.send("x", x, frame("x", 60))
		<-x.frames
	}
	after := x.Stats()
	b.ReportMetric(float64(after.BytesOut-before.BytesOut+after.BytesIn-before.BytesIn)/float64(b.N), "wireB/op")
}

func (t *Transport) closeConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.CloseWithError(codeClosed, "")
	}
}
