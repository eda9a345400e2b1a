// Package quarantine keeps requests that end the servers that run them away from the
// servers that are left.
package quarantine
