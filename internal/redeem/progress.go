package redeem

// HandoverProgress returns how many groups of records a planned stop has passed on whole
// and how many it gave up.
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
