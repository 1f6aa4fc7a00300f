package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is a stream that a client reads event by event.
type stream struct {
	id         string // of the request that brought the first event
	lastEvent  int
	complete   bool
	tries      int // to take it up again
	refused    int // of these, answers other than 200
	wentOn     bool
	brokenAt   time.Time
	lastStatus int
}

// read sends a request for the stream, or for the rest of it, and reads events until the answer ends. It returns the status, 0 for
// none, and the time after which the client may come back.
func (s *stream) read(g *gateway, id string) (status int, retryAfter time.Duration) {
	conn, err := g.dial()
	if err != nil {
		return 0, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	r := request{id: id, method: "POST", target: "/draft/1", host: routeHost, key: keyOfW, body: "draft", deadline: 12 * time.Second}
	if id != s.id {
		r.header = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", s.id, s.lastEvent)
	}
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return 0, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return 0, 0
	}
	if resp.StatusCode != http.StatusOK {
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return resp.StatusCode, time.Duration(after * float64(time.Second))
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.lastEvent, _ = strconv.Atoi(n)
			s.wentOn = s.wentOn || id != s.id
		}
	}
	s.complete = lines.Err() == nil
	return resp.StatusCode, 0
}

// resume: the store is away for 3 s and comes back from an older copy. Some seconds later one machine is killed, and its clients take
// their streams up again at the others.
func resume(w *world, trouble bool) (int, error) {
	const (
		settled  = 4 * time.Second // contact_ms and more
		awayFor  = 3 * time.Second
		inTouch  = 4 * time.Second // from the store's return to the first stream, more than contact_ms
		events   = 45
		gap      = 200 * time.Millisecond
		streams  = 24
		begun    = 1500 * time.Millisecond // from the first stream to the kill
		maxTries = 3
	)
	for i := range 3 {
		e, err := w.startEngine(fmt.Sprintf("i-llm-%d", i+1), "llm", i%2, 1+i, 0)
		if err != nil {
			return 0, err
		}
		e.slots = 64
		e.register(i % 2)
		e.handler = (&streamEngine{engine: e, events: events, gap: gap}).stream
	}
	w.store.put("op/config", config(1, route{name: "r-draft", prefix: "/draft/", kind: "streaming", service: "llm", timeoutMS: 12000, goalMS: 600, gapMS: 250, resumable: true, attempts: 2}))
	gateways, err := w.startGateways(3)
	if err != nil {
		return 0, err
	}
	time.Sleep(settled)
	older := w.store.copy()
	time.Sleep(settled)
	if trouble {
		w.store.setBusy(true)
		w.note("the store is away")
		time.Sleep(awayFor)
		w.store.restore(older)
		w.note("the store is back from the copy; Store-Era rises; it has no more trouble")
	}
	time.Sleep(inTouch)
	lost := gateways[0]
	var wg sync.WaitGroup
	all := make([]*stream, streams)
	for i := range streams {
		s := &stream{id: fmt.Sprintf("%016x", 0xd000+i)}
		all[i] = s
		wg.Go(func() {
			s.read(lost, s.id)
			s.brokenAt = time.Now()
			w.note("%s breaks off at %s after event %d", s.id, lost.name, s.lastEvent)
			for !s.wentOn && s.tries < maxTries {
				g := gateways[1+(i+s.tries)%2]
				s.tries++
				id := fmt.Sprintf("%08x%08x", s.tries, 0xd000+i)
				from := s.lastEvent
				w.note("%s takes %s up again after event %d at %s", id, s.id, from, g.name)
				status, after := s.read(g, id)
				w.note("%s: status %d, events %d to %d, complete %t", id, status, from+1, s.lastEvent, s.complete)
				if status != http.StatusOK {
					s.refused++
					time.Sleep(max(after, 100*time.Millisecond))
				}
			}
		})
	}
	time.Sleep(begun)
	w.note("%s is killed", lost.name)
	lost.kill()
	fresh := make([]*stream, streams)
	for i := range streams {
		s := &stream{id: fmt.Sprintf("%016x", 0xe000+i)}
		fresh[i] = s
		wg.Go(func() {
			s.lastStatus, _ = s.read(gateways[1+i%2], s.id)
			w.note("new stream %s at %s: status %d, %d events", s.id, gateways[1+i%2].name, s.lastStatus, s.lastEvent)
		})
	}
	wg.Wait()
	taken, wentOn, began := 0, 0, 0
	for i := range streams {
		if all[i].lastEvent > 0 && all[i].tries > 0 {
			taken++
			if all[i].wentOn {
				wentOn++
			}
		}
		if fresh[i].lastEvent > 0 {
			began++
		}
	}
	w.note("%d streams were taken up again, %d went on; %d new streams were sent, %d began", taken, wentOn, streams, began)
	if taken < 12 {
		return 0, fmt.Errorf("only %d streams were taken up again", taken)
	}
	if float64(wentOn)/float64(taken) < float64(began)/streams/2 {
		w.note("LOST: the share of streams that went on is under half of the share of new ones that began")
		return taken - wentOn, nil
	}
	return 0, nil
}
