package explain_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

// The page of metrics and the alert rules are maintained by hand. When a metric is renamed or removed,
// they must change too, or an alert never fires; a new metric must be on the page.
func TestMetricsPageAndAlertsMatchCode(t *testing.T) {
	registered := metricsInCode(t)
	require.NotEmpty(t, registered)
	page, err := os.ReadFile("../../docs/operators/measures.md")
	require.NoError(t, err)
	require.Equal(t, registered, metricsIn(string(page)))

	rules, err := os.ReadFile("../../deploy/alerts.yml")
	require.NoError(t, err)
	var file struct {
		Groups []struct {
			Rules []struct {
				Alert, Expr string
				Annotations map[string]string
			}
		}
	}
	require.NoError(t, yaml.Unmarshal(rules, &file))
	require.NotEmpty(t, file.Groups[0].Rules)
	for _, rule := range file.Groups[0].Rules {
		require.Subset(t, registered, metricsIn(rule.Expr), rule.Alert)
		require.NotEmpty(t, rule.Annotations["summary"], rule.Alert)
		_, err := os.Stat(filepath.Join("../..", rule.Annotations["page"]))
		require.NoError(t, err, rule.Alert)
	}
}

var metricName = regexp.MustCompile(`\blf_[a-z_]+`)

// metricsIn returns the sorted names of the metrics in a text, without duplicates. The suffix _bucket of
// histograms is removed.
func metricsIn(text string) []string {
	var list []string
	for _, name := range metricName.FindAllString(text, -1) {
		list = append(list, strings.TrimSuffix(name, "_bucket"))
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// metricsInCode returns the sorted names of the metrics in the source code.
func metricsInCode(t *testing.T) []string {
	var names strings.Builder
	quoted := regexp.MustCompile(`"lf_[a-z_]+"`)
	require.NoError(t, filepath.WalkDir("../../internal", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		names.WriteString(strings.Join(quoted.FindAllString(string(data), -1), " "))
		return err
	}))
	return metricsIn(names.String())
}
