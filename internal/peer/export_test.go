package peer

// MemoryUsed returns the memory that messages occupy.
func (s *Server) MemoryUsed() int64 { return s.budget.Used() }
