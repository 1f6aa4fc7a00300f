package redeem

// HandoverProgress returns the number of record groups that were completely transferred and the
// number of those that were abandoned.
func (s *Server) HandoverProgress() (transferred, failed int) {
	for _, g := range s.outgoing {
		switch {
		case g.failed:
			failed++
		case g.done:
			transferred++
		}
	}
	return transferred, failed
}
