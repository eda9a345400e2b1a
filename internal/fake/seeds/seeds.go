// Package seeds makes randomised tests give the same verdict every time.
package seeds

import (
	"flag"
)

// SetRapidDefaults sets the randomised tests' flags that the command line leaves open: a
// fixed seed, no files of failures, and little time for shrinking. Fresh seeds
// are for `make soak` and for -rapid.seed by hand.
func SetRapidDefaults(checks string) {
	flag.Parse()
	setByUser := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setByUser[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       "20261202",
		"rapid.checks":     checks,
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "5s",
	} {
		if !setByUser[name] {
			_ = flag.Set(name, value)
		}
	}
}
