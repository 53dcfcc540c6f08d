// Package hotrestart lets one process of a router take over its address from another without a gap. The owner serves; at most one
// successor prepares itself beside it and takes over when the owner ends.
//
// Who is what is decided by two file locks in a directory that both processes share. A lock is released with its process, however
// that ends, so that nothing that a crash leaves behind has a meaning. What a successor announces stands in the file of its lock,
// and counts only while that is locked. The names of the files and their content are the same in all versions.
package hotrestart
