package transport

import (
	"os"
	"testing"

	"hollylever/standin"
)

func TestMain(m *testing.M) { os.Exit(standin.LeftOver(m)) }
