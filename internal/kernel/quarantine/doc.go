// Package quarantine detects requests that crash the servers that process them ("query of death"
// or poison message) and keeps them away from the remaining servers.
//
// A proxy sees connections break, but it cannot tell which of the requests in flight crashed the
// server, or whether the server crashed at all. A Tracker therefore counts, for each request
// fingerprint, the server crashes at which such a request was in flight since one last succeeded
// anywhere. All proxies share their counts by gossip, as sets that merge in any order: the same
// request may be retried through any proxy, so hundreds of proxies may observe one crash each.
// From three crashes on, the fingerprint is quarantined: all proxies reject it until a trial may
// show that it has become harmless.
//
// The package is designed for two workloads: a few callers that keep sending a request that
// crashes servers, and bursts of unrelated crashes, each with dozens of harmless requests in
// flight, which must continue to be served.
//
// Messages, settings, events and metrics call a fingerprint "work" and a crash "end"; "condemned"
// there means quarantined.
package quarantine
