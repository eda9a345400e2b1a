package bodies

type (
	// Reservation is memory of a budget that is used for other data than a body.
	Reservation struct {
		budget *MemoryBudget
		bytes  int64
	}
)

// NewReservation returns an empty reservation, which must be released.
func (m *MemoryBudget) NewReservation() *Reservation { return &Reservation{budget: m} }

// TryGrow adds bytes to the reservation, or returns false if the budget is used up.
func (r *Reservation) TryGrow(bytes int64) bool {
	if !r.budget.tryAcquire(bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

// Release returns the memory to the budget. Further calls have no effect. The reservation may be nil.
func (r *Reservation) Release() {
	if r == nil || r.bytes == 0 {
		return
	}
	r.budget.release(r.bytes)
	r.bytes = 0
}
