package backend

const (
	// maxSavedRetries bounds the balance, so that retries saved up in a quiet hour do not allow a
	// retry storm.
	maxSavedRetries = 10
	permille        = 1000
)

type (
	// RetryBudget limits retries to a share of requests. Each request adds a fraction of a retry to
	// the balance, so that a failing region gets at most that share of additional load and never a
	// multiple of its load.
	RetryBudget struct {
		balance int
	}
)

// Deposit credits one first attempt at the given rate in permille.
func (b *RetryBudget) Deposit(rate int) {
	b.balance = min(b.balance+rate, maxSavedRetries*permille)
}

// TryWithdraw takes one retry from the balance and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	if b.balance < permille {
		return false
	}
	b.balance -= permille
	return true
}
