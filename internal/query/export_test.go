package query

// ResponseMemory returns the memory that is reserved for responses of targets.
func (e *Engine) ResponseMemory() int64 { return e.memory.Used() }

// ReserveResponseMemory reserves memory as responses of other requests would, until release is called.
func (e *Engine) ReserveResponseMemory(bytes int) (release func()) {
	account := e.memory.Open()
	if err := account.Reserve(bytes); err != nil {
		panic(err)
	}
	return account.Close
}
