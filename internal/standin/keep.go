package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// logsFolder is where the logs of failed tests are kept, in the module's root.
const logsFolder = "logs"

// KeepLogs copies the folder of a failed test's processes to where it outlasts the test,
// and returns that place.
func SaveLogs(test, folder string) (string, error) {
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	return SaveLogsIn(filepath.Join(root, logsFolder), test, folder)
}

// KeepLogsIn copies the folder below another one.
func SaveLogsIn(to, test, folder string) (string, error) {
	place := filepath.Join(to, strings.ReplaceAll(test, "/", "-")+time.Now().Format("-150405.000"))
	if err := os.CopyFS(place, os.DirFS(folder)); err != nil {
		return "", fmt.Errorf("keep the logs of %s: %w", test, err)
	}
	return place, nil
}

// moduleRoot returns the nearest folder above the working directory that holds a go.mod.
func moduleRoot() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", fmt.Errorf("find the module: %w", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder, nil
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			return "", fmt.Errorf("no go.mod above the working directory (run the test inside the module)")
		}
		folder = parent
	}
}
