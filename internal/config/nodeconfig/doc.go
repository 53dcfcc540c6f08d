// Package nodeconfig reads the settings of a process of the fleet from the JSON file that NOTCHHINGE_BOOT names. It defines
// the file's format, its defaults and its checks, and opens no other file.
//
// The platform writes the file and defines its keys. Unknown keys are ignored, because the platform may add some. The file is
// read at startup and again at SIGHUP, when only seed_nodes takes effect.
package nodeconfig
