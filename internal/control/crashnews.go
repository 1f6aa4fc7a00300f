package control

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/msgauth"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// crashSyncInterval is the time between two messages that repeat the evidence against strongly suspected requests.
	crashSyncInterval = time.Second
	// crashSyncPeers is how many gateways are sent such a message, chosen at random.
	crashSyncPeers = 2
	// maxEvidenceAsks bounds how often a process that has started asks for such evidence without an answer, and
	// evidenceAskInterval is the time between two times.
	maxEvidenceAsks     = 200
	evidenceAskInterval = 80 * time.Millisecond
	// evidenceWait is how long after it has a key a process that starts holds requests until a peer has answered. When all gateways start
	// at once, none has an answer.
	evidenceWait = 300 * time.Millisecond
	// strangeKeyWait is the same if peers sign with a key that this process does not hold: they go on while it has a newer
	// configuration than they, and can't read its question yet.
	strangeKeyWait = 1500 * time.Millisecond
	// evidenceSettledTime is the time after its start at which a process counts as knowing what its peers know, also
	// without an answer.
	evidenceSettledTime = 3 * time.Second
	// maxSyncedRequests bounds the requests of such a message.
	maxSyncedRequests = 16
	// maxSyncedEnds bounds the ends of such a message that are put down to what requests share.
	maxSyncedEnds = 64
	// reportCheckTime is how long after the end of a process that another gateway has reported a sign of life is looked for.
	reportCheckTime = 2 * time.Second
	// maxReportedEnds bounds the reports for which that is done.
	maxReportedEnds = 256
	// maxBlockLeft bounds the remaining time of a block by a peer's word.
	maxBlockLeft = 2 * time.Hour
)

// sendCrashNews sends news to peers. What cannot be signed for a peer is not sent to it.
func (s *State) sendCrashNews(now boottime.Instant, to []mesh.Member, news []wire.CrashNews) {
	s.sendCrashNewsWith(now, 0, to, news)
}

// sendCrashNewsWith is sendCrashNews with the key that has an ID, if this process holds it.
func (s *State) sendCrashNewsWith(now boottime.Instant, key uint32, to []mesh.Member, news []wire.CrashNews) {
	o := &s.crashes.outbox
	for _, n := range news {
		o.sequence++
		for _, member := range to {
			m, err := s.sealCrashNews(now, key, member.ID, o.sequence, n)
			if err == nil {
				s.sendTo(member, m)
			} else if o.unsent.allow(now) {
				s.log(event.CrashNewsUnsent, "peer", member.ID, "err", err.Error())
			}
		}
	}
}

// receiveCrashEvidence applies the news of a peer. An aggregator sends on what it did not know.
func (s *State) receiveCrashEvidence(now boottime.Instant, from msgauth.Process, m wire.CrashEvidence) {
	if _, known := s.mesh.Member(from.ID); !known {
		s.join.unknownPeer = true
		return
	}
	news, err := s.openCrashNews(now, from, m)
	if err != nil {
		if s.crashes.outbox.rejected.allow(now) {
			s.log(event.CrashNewsRejected, "peer", from.ID, "err", err.Error())
		}
		if errors.Is(err, msgauth.ErrUnknownKey) {
			s.crashes.outbox.strangeKey = true
			s.askPeer(now, from.ID)
		}
		return
	}
	if news.Ask {
		s.answerEvidenceAsk(now, from.ID, m.Signature.KeyID)
		return
	}
	if news.Answer {
		s.noteEvidenceAnswered(now)
	}
	changed := s.applyCrashNews(now, news)
	s.settleCrashes(now)
	if changed && s.crashes.outbox.mayForward(now) {
		s.sendCrashNews(now, s.mesh.NewsRecipients(now, from.ID), []wire.CrashNews{news})
	}
}

// applyCrashNews applies news of another gateway and reports whether any was not known.
func (s *State) applyCrashNews(now boottime.Instant, n wire.CrashNews) bool {
	d := s.crashes.detector
	changed := false
	for _, e := range n.Ends {
		changed = s.applyEnd(now, e) || changed
	}
	for _, c := range n.Cleared {
		changed = d.ClearByReport(now, crasher.Fingerprint(c.Request), c.Version, instantOf(now, c.AgeMS)) || changed
	}
	changed = s.applyCompletions(now, n.Completed) || changed
	for _, p := range n.Refuted {
		process := crasher.Process{Endpoint: p.Process.Endpoint, Incarnation: p.Process.Incarnation}
		changed = d.Refute(now, process, instantOf(now, p.AgeMS)) || changed
	}
	for _, t := range n.Trials {
		changed = d.NoteTrial(now, crasher.Fingerprint(t.Request), t.Endpoint) || changed
	}
	for _, r := range n.Blocked {
		left := min(time.Duration(r.LeftMS)*time.Millisecond, maxBlockLeft)
		d.Report(crasher.Fingerprint(r.Request), instantOf(now, r.AgeMS), now.Add(left)) // not sent on: the evidence is
	}
	return changed
}

// applyEnd adds the end of a process that another gateway has seen, and reports whether it says anything new.
func (s *State) applyEnd(now boottime.Instant, m wire.CrashEnd) bool {
	end := decodeEnd(now, m)
	if s.refute(now, end) {
		return false
	}
	if end.At < s.join.processStart {
		s.crashes.detector.Joined(now) // others ran before
	}
	if !s.crashes.detector.Ended(now, end) {
		return false
	}
	if w := s.crashes.reported; len(w) < maxReportedEnds {
		s.crashes.reported = append(w, end)
	}
	return true
}

// refute withdraws a reported end if the process has outlived it, and reports whether it did.
func (s *State) refute(now boottime.Instant, end crasher.End) bool {
	e := s.endpointByShortID(end.Endpoint)
	if e == nil || e.Incarnation != end.Incarnation {
		return false
	}
	aliveAt := e.outlived(end.At)
	if aliveAt <= end.At.Add(aliveMargin) {
		return false
	}
	if s.crashes.detector.Refute(now, end.Process, aliveAt) {
		s.log(event.EndpointEndRefuted, "endpoint", e.ID, "incarnation", e.Incarnation, "alive_after_ms", aliveAt.Sub(end.At).Milliseconds())
		s.crashes.outbox.addRefuted(end.Process, aliveAt)
	}
	return true
}

// checkReportedEnds refutes the ends that other gateways have reported of processes that have shown a sign of life since.
func (s *State) checkReportedEnds(now boottime.Instant) {
	s.crashes.reported = slices.DeleteFunc(s.crashes.reported, func(end crasher.End) bool {
		return s.refute(now, end) || now.Sub(end.At) > reportCheckTime
	})
}

func decodeEnd(now boottime.Instant, m wire.CrashEnd) crasher.End {
	end := crasher.End{
		Process:  crasher.Process{Endpoint: m.Process.Endpoint, Incarnation: m.Process.Incarnation},
		Software: crasher.Software{Service: m.Service, Version: m.Version},
		At:       instantOf(now, m.AgeMS),
		Cause:    decodeTraits(m.Cause),
	}
	for _, b := range m.Broken {
		end.Broken = append(end.Broken, crasher.Broken{Request: crasher.Fingerprint(b.Request), Progress: b.Progress, Ran: milliseconds(b.RanMS), Shares: decodeShares(&b), Events: b.Events})
	}
	return end
}

// instantOf returns the instant of an age. What happened before this host's boot counts as of the boot.
func instantOf(now boottime.Instant, ageMS uint32) boottime.Instant {
	return max(now.Add(-milliseconds(ageMS)), 1)
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// syncCrashes sends the evidence against strongly suspected requests to some gateways, which may have missed it or started
// since.
func (s *State) syncCrashes(now boottime.Instant) {
	o := &s.crashes.outbox
	if s.crashes.detector.Empty() || now.Sub(o.syncedAt) < crashSyncInterval {
		return
	}
	o.syncedAt = now
	items := s.strongEvidence(now)
	if items.empty() {
		return
	}
	s.sendCrashNews(now, s.mesh.RandomPeers(now, s.rng, crashSyncPeers), items.messages(now))
}

// askForEvidence asks some gateways for the evidence against strongly suspected requests, from the moment at which this process
// has a key until one has answered.
func (s *State) askForEvidence(now boottime.Instant) {
	o := &s.crashes.outbox
	if o.keyAt == 0 && s.trust.ring.HasKey() {
		o.keyAt = now
	}
	if o.answered || o.asks >= maxEvidenceAsks || now.Sub(o.askedAt) < evidenceAskInterval || !s.trust.ring.HasKey() {
		return
	}
	peers := s.mesh.RandomHeardPeers(now, s.rng, crashSyncPeers)
	if len(peers) == 0 {
		return
	}
	o.askedAt = now
	o.asks++
	s.sendCrashNews(now, peers, []wire.CrashNews{{Ask: true}})
}

// askPeer asks a peer that signs with a key which this process does not hold for the evidence, signed with the key of the question.
func (s *State) askPeer(now boottime.Instant, peer fleet.InstanceID) {
	o := &s.crashes.outbox
	to, known := s.mesh.Member(peer)
	if !known || now.Sub(o.peerAskedAt) < evidenceAskInterval || !s.trust.ring.HasKey() {
		return
	}
	o.peerAskedAt = now
	s.sendCrashNews(now, []mesh.Member{to}, []wire.CrashNews{{Ask: true}})
}

// noteEvidenceAnswered records that a peer has sent the evidence. A process that is answered soon has joined others, which have run for
// longer; later answers come when the whole fleet has started lately.
func (s *State) noteEvidenceAnswered(now boottime.Instant) {
	o := &s.crashes.outbox
	if !o.answered && now.Sub(s.join.processStart) < evidenceSettledTime/2 {
		s.crashes.detector.Joined(now)
	}
	o.answered = true
}

// AwaitsEvidence reports whether this process has started lately and does not know yet which requests its peers block. Requests are
// held until then, at most evidenceWait, or strangeKeyWait.
func (s *State) AwaitsEvidence(now boottime.Instant) bool {
	o := &s.crashes.outbox
	alone := s.join.done(now) && s.mesh.Size() == 1
	if o.answered || alone || s.opts.FirstStart || !s.trust.ring.HasKey() {
		return false
	}
	wait := evidenceWait
	if o.strangeKey {
		wait = strangeKeyWait
	}
	return o.keyAt == 0 || now.Sub(o.keyAt) < wait
}

// answerEvidenceAsk sends a peer that has asked for it the evidence against strongly suspected requests, signed with the key
// of the question: a process that has just started does not hold former ones.
func (s *State) answerEvidenceAsk(now boottime.Instant, peer fleet.InstanceID, key uint32) {
	to, known := s.mesh.Member(peer)
	o := &s.crashes.outbox
	settled := o.answered || now.Sub(s.join.processStart) >= evidenceSettledTime
	if !known || !settled || !o.mayForward(now) {
		return
	}
	items := s.strongEvidence(now)
	news := append(items.messages(now), wire.CrashNews{Answer: true})
	s.sendCrashNewsWith(now, key, []mesh.Member{to}, news)
}

// strongEvidence returns the evidence against strongly suspected requests.
func (s *State) strongEvidence(now boottime.Instant) crashItems {
	ends, blocked := s.crashes.detector.Strong(now, maxSyncedRequests)
	ends = append(ends, s.crashes.detector.SharedEnds(now, maxSyncedEnds)...)
	items := crashItems{ends: ends, cleared: s.crashes.detector.Exonerations(now, maxSyncedRequests)}
	for _, f := range blocked {
		began, until := s.crashes.detector.Block(f)
		items.blocked = append(items.blocked, blockedRequest{f, began, until})
	}
	return items
}

// errNoStatus is returned for news for a peer whose incarnation is not known, because it has sent no Status yet. It gets
// the news when the evidence is repeated.
var errNoStatus = errors.New("control: the peer has not sent a Status")

// sealCrashNews returns the signed message with news for a peer. The errors are errNoStatus, msgauth.ErrNoKey and those
// of the encoding.
func (s *State) sealCrashNews(now boottime.Instant, key uint32, to fleet.InstanceID, sequence uint64, n wire.CrashNews) (wire.CrashEvidence, error) {
	incarnation, known := s.mesh.Incarnation(to)
	if !known {
		return wire.CrashEvidence{}, errNoStatus
	}
	b, err := wire.EncodeCrashNews(n)
	if err != nil {
		return wire.CrashEvidence{}, err
	}
	receiver := msgauth.Process{ID: to, Incarnation: incarnation}
	signature, err := s.trust.auth.SignWith(now, key, receiver, wire.KindCrashEvidence, sequence, b)
	return wire.CrashEvidence{News: b, Signature: signature}, err
}

// openCrashNews returns the news in a message of a gateway. The errors are those of msgauth.Authenticator.Verify and
// wire.ErrMalformed.
func (s *State) openCrashNews(now boottime.Instant, from msgauth.Process, m wire.CrashEvidence) (wire.CrashNews, error) {
	if err := s.trust.auth.Verify(now, from, wire.KindCrashEvidence, m.News, m.Signature); err != nil {
		return wire.CrashNews{}, err
	}
	return wire.DecodeCrashNews(m.News)
}
