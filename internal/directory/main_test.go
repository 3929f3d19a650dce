package directory

import (
	"testing"

	"endivewing/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, testkit.RapidOptions{Checks: 100}) }
