// Package seeds makes randomised tests reproducible.
package seeds

import (
	"flag"
)

// SetRapidDefaults sets the flags of the rapid library that the command line does not set: a fixed
// seed, the number of checks, no failure files, and a short time for shrinking. `make soak` and
// -rapid.seed run with other seeds.
func SetRapidDefaults(checkCount string) {
	flag.Parse()
	setByUser := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setByUser[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       "20261202",
		"rapid.checks":     checkCount,
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "5s",
	} {
		if !setByUser[name] {
			_ = flag.Set(name, value)
		}
	}
}
