// Package admission limits the requests that all proxies together send to backend servers: the
// number of requests that run on a server at once, retries within a shared budget, requests to
// cold servers within the rate that those can handle, and load shedding when queues grow too long.
// Rates and budgets are divided among the proxies without communication, so they also hold among
// proxies that cannot reach each other.
package admission
