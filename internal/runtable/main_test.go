package runtable

import (
	"testing"

	"endivewing/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, testkit.RapidOptions{Checks: 400, Steps: 80}) }
