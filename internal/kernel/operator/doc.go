// Package operator defines the configuration bundle by which operators configure the system. It
// implements its decoding and validation, its two signatures and the comparison of two versions.
//
// The package does no I/O. Time and keys are passed as arguments, so that the daemon, the
// command-line client and the simulation share the same rules.
package operator
