package regression

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const benchmarkOutput = `goos: linux
BenchmarkDivision/routers=10-8   20  1010 ns/op  7 grant-B
BenchmarkDivision/routers=20-8   20  2010 ns/op  7 grant-B
BenchmarkDivision/routers=40-8   20  4010 ns/op  7 grant-B
BenchmarkOther/routers=40-8      20  4010 ns/op
PASS
`

func TestFitsLine(t *testing.T) {
	series, err := Read(strings.NewReader(benchmarkOutput))
	require.NoError(t, err)
	require.Len(t, series, 2)
	base, slope, r2 := series[0].Fit()
	require.InDelta(t, 10, base, 1e-6)
	require.InDelta(t, 100, slope, 1e-6)
	require.InDelta(t, 1, r2, 1e-9)
	golden, err := os.ReadFile("testdata/table.md")
	require.NoError(t, err)
	require.Equal(t, string(golden), Table(series, 1900))
	file := filepath.Join(t.TempDir(), "plot.png")
	require.NoError(t, Draw(series, file))
	require.FileExists(t, file)
}

func TestRefusesOutputWithoutSizes(t *testing.T) {
	_, err := Read(strings.NewReader("PASS\n"))
	require.ErrorContains(t, err, "go test -bench")
}
