package caller

import (
	"os"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/fake/seeds"
)

func TestMain(m *testing.M) {
	seeds.SetRapidDefaults("500")
	os.Exit(m.Run())
}
