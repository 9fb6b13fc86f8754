package loomsettings

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

// Fault is a mistake in a settings or catalogue file.
type Fault struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	// Line is the line number, counted from one; zero means unknown.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// String returns the fault in the form "file:line: [section] key: message", without
// the parts that are unknown.
func (f Fault) String() string {
	position := f.File
	if f.Line > 0 {
		position += ":" + strconv.Itoa(f.Line)
	}
	if f.Section == "" && f.Key == "" {
		return position + ": " + f.Message
	}
	if f.Section == "" {
		return position + ": " + f.Key + ": " + f.Message
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", position, f.Section, f.Message)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", position, f.Section, f.Key, f.Message)
}

// Faults holds all mistakes of a file. It implements error.
type Faults []Fault

// Error implements error. It returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads and validates the settings file at path. The error is a Faults
// value if the file could be read but has mistakes.
func ReadFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "read settings")
	}
	return Read(path, data)
}

// Read parses and validates the settings in data. Faults carry the name file. The
// error is a Faults value with all mistakes, in line order.
func Read(file string, data []byte) (Settings, error) {
	source, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, data)
	if err != nil {
		return Settings{}, Faults{{File: file, Message: err.Error()}}
	}
	r := &reader{file: file, data: data, ini: source, knownKeys: make(map[keyID]bool)}
	s := r.readSettings()
	r.rejectUnknown()
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return Settings{}, r.faults
	}
	return s, nil
}

// keyID identifies a key of a section.
type keyID struct {
	section, key string
}

// reader reads typed values from INI text and collects the faults.
type reader struct {
	file      string
	data      []byte
	ini       *ini.File
	knownKeys map[keyID]bool
	faults    Faults
}

// readSettings reads all keys over the default settings.
func (r *reader) readSettings() Settings {
	s := Default()
	r.text("instance", "id", &s.Instance.ID, true)
	r.text("instance", "failure_domain", &s.Instance.FailureDomain, true)
	r.text("instance", "region", &s.Instance.Region, false)
	r.address("instance", "http_address", &s.Instance.HTTPAddress)
	r.address("instance", "peer_address", &s.Instance.PeerAddress)
	r.optionalAddresses("instance", "seed_peers", &s.Instance.SeedPeers)
	r.count("instance", "max_body_bytes", &s.Instance.MaxBodyBytes)
	r.count("instance", "memory_mb", &s.Instance.MemoryMB)
	r.level("instance", "log_level", &s.Instance.LogLevel)
	r.text("platform", "driver", &s.Platform.Driver, false)
	r.addresses("platform", "addresses", &s.Platform.Addresses)
	r.text("deployment", "name", &s.Deployment.Name, true)
	r.text("deployment", "peer_key", &s.Deployment.PeerKey, true)
	r.text("deployment", "operator_key", &s.Deployment.OperatorKey, true)
	r.text("routing", "policy", &s.Routing.Policy, false)
	r.duration("report_interval", &s.Timing.ReportInterval)
	r.duration("gossip_interval", &s.Timing.GossipInterval)
	r.duration("catalogue_interval", &s.Timing.CatalogueInterval)
	r.duration("members_interval", &s.Timing.MembersInterval)
	r.duration("platform_timeout", &s.Timing.PlatformTimeout)
	r.duration("lookup_timeout", &s.Timing.LookupTimeout)
	r.duration("drain_delay", &s.Timing.DrainDelay)
	r.duration("drain_timeout", &s.Timing.DrainTimeout)
	return s
}

// lookup returns the value of a key and whether the key is present, and marks the
// key as known. A repeated key is a fault.
func (r *reader) lookup(section, key string) (string, bool) {
	r.knownKeys[keyID{section, key}] = true
	sec, err := r.ini.GetSection(section)
	if err != nil || !sec.HasKey(key) {
		return "", false
	}
	values := sec.Key(key).ValueWithShadows()
	if len(values) > 1 {
		r.addFault(section, key, "the key occurs %d times, want once", len(values))
	}
	if len(values) == 0 {
		return "", true
	}
	return strings.TrimSpace(values[0]), true
}

// text reads a text. A present key must not be empty; a missing one is a fault only
// if required.
func (r *reader) text(section, key string, value *string, required bool) {
	v, ok := r.lookup(section, key)
	if ok && v != "" {
		*value = v
		return
	}
	if required || ok {
		r.addFault(section, key, "a value is required")
	}
}

// address reads a required IP address with a port.
func (r *reader) address(section, key string, value *netip.AddrPort) {
	v, ok := r.lookup(section, key)
	if !ok {
		r.addFault(section, key, "an address is required")
		return
	}
	if a, ok := r.parseAddress(section, key, v); ok {
		*value = a
	}
}

// addresses reads a comma-separated list of at least one address.
func (r *reader) addresses(section, key string, value *[]netip.AddrPort) {
	if v, ok := r.lookup(section, key); !ok || v == "" {
		r.addFault(section, key, "at least one address is required")
		return
	}
	r.optionalAddresses(section, key, value)
}

// optionalAddresses reads a comma-separated list of addresses that may be empty.
func (r *reader) optionalAddresses(section, key string, value *[]netip.AddrPort) {
	v, ok := r.lookup(section, key)
	if !ok || v == "" {
		return
	}
	for _, part := range strings.Split(v, ",") {
		if a, ok := r.parseAddress(section, key, strings.TrimSpace(part)); ok {
			*value = append(*value, a)
		}
	}
}

// parseAddress parses an IP address with a port. A host name is a fault.
func (r *reader) parseAddress(section, key, v string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.addFault(section, key, "%q is not an IP number with a port; host names are not accepted", v)
		return netip.AddrPort{}, false
	}
	return a, true
}

// count reads an optional whole number above zero.
func (r *reader) count(section, key string, value *int64) {
	v, ok := r.lookup(section, key)
	if !ok {
		return
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n <= 0 {
		r.addFault(section, key, "%q is not a whole number above zero", v)
		return
	}
	*value = n
}

// duration reads an optional duration above zero in the section timing.
func (r *reader) duration(key string, value *time.Duration) {
	v, ok := r.lookup("timing", key)
	if !ok {
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		r.addFault("timing", key, "%q is not a duration above zero, such as 500ms", v)
		return
	}
	*value = d
}

// level reads an optional log level.
func (r *reader) level(section, key string, value *slog.Level) {
	v, ok := r.lookup(section, key)
	if !ok {
		return
	}
	if err := value.UnmarshalText([]byte(v)); err != nil {
		r.addFault(section, key, "%q is not one of debug, info, warn, error", v)
	}
}

// rejectUnknown adds a fault for each section and key that no method has read.
func (r *reader) rejectUnknown() {
	sections := make(map[string]bool)
	for k := range r.knownKeys {
		sections[k.section] = true
	}
	for _, sec := range r.ini.Sections() {
		name := sec.Name()
		if name == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if !sections[name] {
			r.addFault(name, "", "unknown section")
			continue
		}
		for _, key := range sec.Keys() {
			if !r.knownKeys[keyID{name, key.Name()}] {
				r.addFault(name, key.Name(), "unknown key")
			}
		}
	}
}

// addFault adds a fault with the line of the key.
func (r *reader) addFault(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{
		File:    r.file,
		Section: section,
		Key:     key,
		Line:    Line(r.data, section, key),
		Message: fmt.Sprintf(format, args...),
	})
}

// Line returns the line number of a key in INI text, counted from one. If key is
// empty or absent, it returns the line of the section header, or zero if that is
// absent too.
func Line(data []byte, section, key string) int {
	sectionLine := 0
	inSection := section == ini.DefaultSection
	lineNumber := 0
	for scanner := bufio.NewScanner(bytes.NewReader(data)); scanner.Scan(); {
		lineNumber++
		line := strings.TrimSpace(scanner.Text())
		if name, ok := sectionName(line); ok {
			inSection = name == section
			if inSection && sectionLine == 0 {
				sectionLine = lineNumber
			}
			continue
		}
		if inSection && key != "" && keyName(line) == key {
			return lineNumber
		}
	}
	return sectionLine
}

// sectionName returns the name in a section header line and whether line is one.
func sectionName(line string) (string, bool) {
	if !strings.HasPrefix(line, "[") {
		return "", false
	}
	name, _, ok := strings.Cut(line[1:], "]")
	return strings.TrimSpace(name), ok
}

// keyName returns the key of a line, or "".
func keyName(line string) string {
	i := strings.IndexAny(line, "=:")
	if i < 0 {
		return ""
	}
	return strings.TrimSpace(line[:i])
}
