package steering

const (
	// connectionShare is the part of a server's connection limit that all proxies use together. A
	// server with a long queue accepts fewer connections and resets the rest.
	connectionShare = 0.8
	// minConnections is the connection limit of a proxy however many proxies share the server.
	minConnections = 1
)

// maxConnections returns how many connections this proxy may hold to each server of a service, or
// zero for no limit if the configuration sets none. Without it, eight idle connections of each of
// 1,300 proxies would be seven times the 1,400 that a server accepts, and later connections would
// be reset.
func (k *Kernel) maxConnections(svc *service) int {
	c := k.table.Services[svc.name]
	if c == nil || c.Connections <= 0 || !k.isEnabled(MechanismSharedConnections) {
		return 0
	}
	return max(minConnections, int(connectionShare*float64(c.Connections)/float64(len(k.limitSharers))))
}
