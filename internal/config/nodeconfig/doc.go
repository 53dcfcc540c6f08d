// Package nodeconfig reads the settings of a process of the fleet: the JSON file that NOTCHHINGE_BOOT names. It owns the
// file's form, its defaults and its checks, and opens nothing but that file.
//
// The platform writes the file; its keys are the platform's. Keys that are not known are ignored, since the platform may add
// some. The file is read at the start, and again at SIGHUP, when only seed_nodes takes effect.
package nodeconfig
