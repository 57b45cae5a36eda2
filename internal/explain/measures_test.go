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

// Symptom: an engineer finds a metric that no page explains, or an alert never fires.
// Sequence: a metric is added, renamed or dropped.
// Cause: the page and the rules are kept by hand.
func TestThePageOfMeasuresAndTheAlertsAreTrue(t *testing.T) {
	registered := measuresOfTheCode(t)
	require.NotEmpty(t, registered)
	page, err := os.ReadFile("../../docs/operators/measures.md")
	require.NoError(t, err)
	require.Equal(t, registered, measuresIn(string(page)))

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
		require.Subset(t, registered, measuresIn(rule.Expr), rule.Alert)
		require.NotEmpty(t, rule.Annotations["summary"], rule.Alert)
		_, err := os.Stat(filepath.Join("../..", rule.Annotations["page"]))
		require.NoError(t, err, rule.Alert)
	}
}

var measure = regexp.MustCompile(`\blf_[a-z_]+`)

// measuresIn returns the metrics that a text names, once each, in order. Histograms are
// read by their buckets.
func measuresIn(text string) []string {
	var list []string
	for _, name := range measure.FindAllString(text, -1) {
		list = append(list, strings.TrimSuffix(name, "_bucket"))
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// measuresOfTheCode returns the metrics that the sources name.
func measuresOfTheCode(t *testing.T) []string {
	var all strings.Builder
	quoted := regexp.MustCompile(`"lf_[a-z_]+"`)
	require.NoError(t, filepath.WalkDir("../../internal", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		all.WriteString(strings.Join(quoted.FindAllString(string(data), -1), " "))
		return err
	}))
	return measuresIn(all.String())
}
