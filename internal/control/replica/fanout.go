package replica

// fanOut counts the answers to calls that were sent to several peers, and calls done after the last.
type fanOut struct {
	pending int // answers that are still to come, and one until all calls are sent
	done    func()
}

func newFanOut(done func()) *fanOut { return &fanOut{pending: 1, done: done} }

// sent counts a call.
func (f *fanOut) sent() { f.pending++ }

// answered counts an answer, or that there was none in time.
func (f *fanOut) answered() {
	if f.pending--; f.pending == 0 {
		f.done()
	}
}

// allSent says that no call is added any more.
func (f *fanOut) allSent() { f.answered() }
