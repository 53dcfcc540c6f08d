package usage

import "time"

// WindowAt returns the number of the usage window that contains the given time.
func WindowAt(at time.Time, length time.Duration) uint64 {
	return uint64(at.UnixNano() / int64(length))
}

// WindowEnd returns the end of a window, which is the start of the next one.
func WindowEnd(number uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(number+1)*int64(length))
}
