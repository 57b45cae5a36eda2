package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// logsDir is the directory in the module root for the logs of failed tests.
const logsDir = "logs"

// SaveLogs copies the directory of a failed test's processes to a directory that is not removed
// after the test. It returns the path of the copy.
func SaveLogs(test, dir string) (string, error) {
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	return SaveLogsIn(filepath.Join(root, logsDir), test, dir)
}

// SaveLogsIn copies the directory to a new directory in parentDir. It returns the path of the
// copy.
func SaveLogsIn(parentDir, test, dir string) (string, error) {
	savedDir := filepath.Join(parentDir, strings.ReplaceAll(test, "/", "-")+time.Now().Format("-150405.000"))
	if err := os.CopyFS(savedDir, os.DirFS(dir)); err != nil {
		return "", fmt.Errorf("save the logs of %s: %w", test, err)
	}
	return savedDir, nil
}

// moduleRoot returns the nearest directory, from the working directory upward, that contains a
// go.mod file.
func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", fmt.Errorf("find the module root: %w", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", fmt.Errorf("no go.mod in the working directory or its parents (run the test inside the module)")
		}
		dir = parent
	}
}
