package steering

const (
	// connectionShare is the part of a server's connections that all proxies use
	// together: one with a long queue accepts fewer, and what it does not accept
	// it resets.
	connectionShare = 0.8
	// minConnections is what a proxy may hold however many share the server.
	minConnections = 1
)

// maxConnections is how many connections a proxy may hold to each server of a
// service, zero for no bound if the configuration names none. Without it eight idle
// connections of each of 1,300 proxies would be seven times the 1,400 that a
// server accepts, and whoever came later would be reset.
func (k *Kernel) maxConnections(svc *service) int {
	c := k.table.Services[svc.name]
	if c == nil || c.Connections <= 0 || !k.isEnabled(MechanismSharedConnections) {
		return 0
	}
	return max(minConnections, int(connectionShare*float64(c.Connections)/float64(len(k.limitSharers))))
}
