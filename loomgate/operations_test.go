package loomgate

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOperationsPageNamesEvents checks that docs/OPERATIONS.md names each event
// that the code logs, and no other.
func TestOperationsPageNamesEvents(t *testing.T) {
	logged := make(map[string]bool)
	event := regexp.MustCompile(`log\.(?:Debug|Info|Warn|Error)\("([a-z_]+)"`)
	for _, pattern := range []string{"*.go", "../platform/*.go"} {
		files, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			for _, m := range event.FindAllStringSubmatch(string(data), -1) {
				logged[m[1]] = true
			}
		}
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, table, found := strings.Cut(string(page), "## Events")
	assert.Assert(t, found)
	table, _, _ = strings.Cut(table, "\n## ")
	named := make(map[string]bool)
	code := regexp.MustCompile("`([a-z_]+)`")
	for line := range strings.SplitSeq(table, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		for _, m := range code.FindAllStringSubmatch(cells[1], -1) {
			named[m[1]] = true
		}
	}
	for name := range logged {
		assert.Check(t, named[name], "the page lacks %s", name)
	}
	for name := range named {
		assert.Check(t, logged[name], "the code never logs %s", name)
	}
}
