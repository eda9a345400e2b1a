package replica

import (
	"cmp"
	"slices"
)

const (
	// minCompactedChanges is the number of changes below which outdated ones are kept.
	minCompactedChanges = 1024
)

type (
	// changeLog lists changes of keys by revision. Proxies ask each other for the latest changes
	// several times for each change in the fleet; without the log, each question is a search
	// through all keys.
	changeLog struct {
		list []keyChange
		// sorted is how many changes at the start of the list are in order.
		sorted int
		// compactAt is the length from which outdated changes are removed.
		compactAt int
	}

	// keyChange is one change of a key. It is outdated once the key has changed again.
	keyChange struct {
		key      string
		revision Position
	}
)

// add adds a change. sort must be called before the next call of after.
func (l *changeLog) add(key string, revision Position) {
	l.list = append(l.list, keyChange{key, revision})
}

// sort sorts the changes that were added, and removes outdated ones once they are half of all.
func (l *changeLog) sort(isCurrent func(keyChange) bool) {
	if len(l.list) >= max(l.compactAt, minCompactedChanges) {
		l.list = slices.DeleteFunc(l.list, func(k keyChange) bool { return !isCurrent(k) })
		l.compactAt, l.sorted = 2*len(l.list), 0
	}
	added := l.list[l.sorted:]
	slices.SortFunc(added, compareChanges)
	if l.sorted > 0 && len(added) > 0 && compareChanges(l.list[l.sorted-1], added[0]) > 0 {
		slices.SortFunc(l.list, compareChanges)
	}
	l.sorted = len(l.list)
}

// after returns the changes after a revision.
func (l *changeLog) after(revision Position) []keyChange {
	i, _ := slices.BinarySearchFunc(l.list, revision, func(k keyChange, r Position) int {
		if k.revision <= r {
			return -1
		}
		return 1
	})
	return l.list[i:]
}

func compareChanges(a, b keyChange) int { return cmp.Compare(a.revision, b.revision) }
