// Package core is the deterministic kernel of a proxy. It makes all decisions and performs no I/O.
// Time, randomness and messages are passed in as arguments; decisions and actions are returned as
// values. The daemon, the simulation and the replay of recorded traces run the same code, and a
// process may contain several kernels.
//
// A Kernel is not safe for concurrent use; its driver serializes the calls.
package core
