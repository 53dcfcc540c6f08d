// Package hotrestart replaces the process that serves an address without downtime. The owner serves the address. At most one successor
// starts beside it and takes over when the owner ends.
//
// Two file locks in a directory that both processes share determine the roles. The kernel releases a lock when its process ends, also
// after a crash, so that files left behind have no effect. A successor announces its state in its lock file, which is valid only while
// it is locked. The names and contents of the files are the same in all versions.
package hotrestart
