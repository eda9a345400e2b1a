// Package quarantine keeps requests that end the servers that run them away from the
// servers that are left: a query of death, or poison message.
//
// A proxy sees exchanges break and cannot tell which of the requests that a server
// had then ended it, or whether it ended at all. So a Ledger counts, by the work that
// requests ask for, at how many servers' ends the work was there since it last ran well
// anywhere. The counts of all proxies are pooled, as sets that merge in any order:
// the same work comes back at any proxy, and hundreds of proxies see one end each. At
// three ends the work is condemned and refused everywhere until a trial may show that
// it has become harmless.
//
// It answers two loads: a few callers that keep asking for what ends servers, and storms
// in which servers end by themselves with dozens of sound requests each, which must go on.
package quarantine
