package msgauth

import (
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// maxSenders bounds the senders whose sequence numbers are remembered. Only holders of a key become senders.
	maxSenders = 1024
	// maxProcesses bounds the remembered processes of one sender. Messages of a former one are refused if they were
	// accepted before; a delayed one is accepted once.
	maxProcesses = 8
	// windowSize is the number of sequence numbers up to the highest one that are told apart. Messages that were
	// overtaken by more are refused.
	windowSize = 64
)

// replayFilter remembers the sequence numbers of accepted messages. If a bound is reached, it forgets those of the
// process or sender that has been silent for the longest time.
type replayFilter struct {
	senders map[fleet.InstanceID]*sender
}

// sender is a gateway from which a message was accepted.
type sender struct {
	processes []process
	heard     boottime.Instant
}

// process is one run of a sender.
type process struct {
	incarnation fleet.Incarnation
	window      window
	heard       boottime.Instant
}

// window holds the highest accepted sequence number, and which of the windowSize numbers up to it were accepted: bit i
// is that of highest-i.
type window struct {
	highest  uint64
	accepted uint64
}

func newReplayFilter() replayFilter { return replayFilter{senders: map[fleet.InstanceID]*sender{}} }

// accept records a sequence number, or returns ErrReplayed.
func (f *replayFilter) accept(now boottime.Instant, from Process, sequence uint64) error {
	if sequence == 0 {
		return ErrReplayed
	}
	s := f.senders[from.ID]
	if s == nil {
		s = f.add(from.ID)
	}
	p := s.process(from.Incarnation)
	if !p.window.accept(sequence) {
		return ErrReplayed
	}
	p.heard, s.heard = now, now
	return nil
}

func (f *replayFilter) add(id fleet.InstanceID) *sender {
	if len(f.senders) == maxSenders {
		f.forgetSilent()
	}
	s := &sender{}
	f.senders[id] = s
	return s
}

// forgetSilent forgets the sender that has been silent for the longest time.
func (f *replayFilter) forgetSilent() {
	var silentID fleet.InstanceID
	var silent *sender
	for id, s := range f.senders {
		if silent == nil || s.heard < silent.heard {
			silentID, silent = id, s
		}
	}
	delete(f.senders, silentID)
}

// process returns the record of an incarnation. A new one replaces the longest silent of maxProcesses.
func (s *sender) process(inc fleet.Incarnation) *process {
	silent := 0
	for i := range s.processes {
		if s.processes[i].incarnation == inc {
			return &s.processes[i]
		}
		if s.processes[i].heard < s.processes[silent].heard {
			silent = i
		}
	}
	if len(s.processes) < maxProcesses {
		s.processes = append(s.processes, process{})
		silent = len(s.processes) - 1
	}
	s.processes[silent] = process{incarnation: inc}
	return &s.processes[silent]
}

// accept records a positive sequence number and returns true if it was not recorded before and is within the window.
func (w *window) accept(sequence uint64) bool {
	if sequence > w.highest {
		w.accepted = w.accepted<<(sequence-w.highest) | 1 // a shift by 64 or more yields 0
		w.highest = sequence
		return true
	}
	behind := w.highest - sequence
	if behind >= windowSize || w.accepted&(1<<behind) != 0 {
		return false
	}
	w.accepted |= 1 << behind
	return true
}
