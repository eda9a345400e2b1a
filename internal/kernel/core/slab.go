package core

type (
	// Slab stores values under small integer handles. Freed slots are reused, so that a steady load
	// does not allocate.
	Slab[T any] struct {
		items []T
		free  []int
	}
)

// Put stores a value and returns its handle.
func (s *Slab[T]) Put(value T) int {
	if n := len(s.free); n > 0 {
		handle := s.free[n-1]
		s.free = s.free[:n-1]
		s.items[handle] = value
		return handle
	}
	s.items = append(s.items, value)
	return len(s.items) - 1
}

// Get returns a pointer to the value of a handle, or nil if the handle is out of range.
func (s *Slab[T]) Get(handle int) *T {
	if handle < 0 || handle >= len(s.items) {
		return nil
	}
	return &s.items[handle]
}

// Free releases a handle. The value is zeroed so that what it references can be garbage collected.
func (s *Slab[T]) Free(handle int) {
	var zero T
	s.items[handle] = zero
	s.free = append(s.free, handle)
}
