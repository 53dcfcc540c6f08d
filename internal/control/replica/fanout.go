package replica

// fanOut tracks parallel calls to several peers and calls done after the last answer.
type fanOut struct {
	pending int // outstanding answers, plus one until allSent is called
	done    func()
}

func newFanOut(done func()) *fanOut { return &fanOut{pending: 1, done: done} }

// sent records that a call was sent.
func (f *fanOut) sent() { f.pending++ }

// answered records an answer or a timeout.
func (f *fanOut) answered() {
	if f.pending--; f.pending == 0 {
		f.done()
	}
}

// allSent records that no further call will be sent.
func (f *fanOut) allSent() { f.answered() }
