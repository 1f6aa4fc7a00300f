package redeem

// HandoverProgress returns the number of record groups that were completely transferred and the
// number of those that were given up.
func (s *Server) HandoverProgress() (passed, failed int) {
	for _, ss := range s.outgoing {
		switch {
		case ss.failed:
			failed++
		case ss.done:
			passed++
		}
	}
	return passed, failed
}
