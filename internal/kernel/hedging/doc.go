// Package hedging decides whether and when an idempotent request that runs much longer than usual
// is sent a second time, and to which server.
//
// Some runs take several times as long as usual for reasons of their own, while a second run of the
// same request usually takes the usual time. The package learns how long the warm runs of a route
// take. It reads no clock; all inputs and outcomes are values.
package hedging
