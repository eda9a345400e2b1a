package peer

import (
	"os"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/fake/seeds"
)

func TestMain(m *testing.M) {
	seeds.SetRapidDefaults("4000")
	os.Exit(m.Run())
}
