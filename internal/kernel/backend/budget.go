package backend

const (
	// maxSavedRetries bounds saved-up retries, so that a quiet hour does not
	// license a storm.
	maxSavedRetries = 10
	permille        = 1000
)

type (
	// RetryBudget permits retries as a share of requests. Each request earns a
	// fraction of a retry; a failing region thus sees at most that share more
	// load, never a multiple.
	RetryBudget struct {
		balance int
	}
)

// Deposit credits one first attempt at the given rate in thousandths.
func (b *RetryBudget) Deposit(rate int) {
	b.balance = min(b.balance+rate, maxSavedRetries*permille)
}

// TryWithdraw takes one retry, or reports false.
func (b *RetryBudget) TryWithdraw() bool {
	if b.balance < permille {
		return false
	}
	b.balance -= permille
	return true
}
