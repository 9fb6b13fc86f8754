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

// Fault is one mistake in a settings or catalogue file.
type Fault struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	// Line counts from one; zero means that the line is not known.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place += ":" + strconv.Itoa(f.Line)
	}
	if f.Section == "" && f.Key == "" {
		return place + ": " + f.Message
	}
	if f.Section == "" {
		return place + ": " + f.Key + ": " + f.Message
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", place, f.Section, f.Message)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", place, f.Section, f.Key, f.Message)
}

// Faults lists every mistake of a file as an error.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads and checks the settings in the file at path. The error is a
// Faults value when the file was read but holds mistakes.
func ReadFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "read settings")
	}
	return Read(path, data)
}

// Read checks the settings in data; file is the name used in faults.
func Read(file string, data []byte) (Settings, error) {
	source, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, data)
	if err != nil {
		return Settings{}, Faults{{File: file, Message: err.Error()}}
	}
	r := &reader{file: file, data: data, source: source, known: make(map[sectionKey]bool)}
	s := r.settings()
	r.refuseUnknown()
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return Settings{}, r.faults
	}
	return s, nil
}

type sectionKey struct {
	section, key string
}

type reader struct {
	file   string
	data   []byte
	source *ini.File
	known  map[sectionKey]bool
	faults Faults
}

func (r *reader) settings() Settings {
	s := Default()
	r.text("instance", "id", &s.Instance.ID, true)
	r.text("instance", "failure_domain", &s.Instance.FailureDomain, true)
	r.text("instance", "region", &s.Instance.Region, false)
	r.address("instance", "http_address", &s.Instance.HTTPAddress)
	r.address("instance", "peer_address", &s.Instance.PeerAddress)
	r.optionalAddresses("instance", "seed_peers", &s.Instance.SeedPeers)
	r.count("instance", "max_body_bytes", &s.Instance.MaxBodyBytes)
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

// key returns the single value of a key. A key that stands twice is a fault.
func (r *reader) key(section, key string) (string, bool) {
	r.known[sectionKey{section, key}] = true
	sec, err := r.source.GetSection(section)
	if err != nil || !sec.HasKey(key) {
		return "", false
	}
	values := sec.Key(key).ValueWithShadows()
	if len(values) > 1 {
		r.fault(section, key, "the key stands %d times", len(values))
	}
	if len(values) == 0 {
		return "", true
	}
	return strings.TrimSpace(values[0]), true
}

func (r *reader) text(section, key string, value *string, required bool) {
	v, ok := r.key(section, key)
	if ok && v != "" {
		*value = v
		return
	}
	if required || ok {
		r.fault(section, key, "a value is required")
	}
}

func (r *reader) address(section, key string, value *netip.AddrPort) {
	v, ok := r.key(section, key)
	if !ok {
		r.fault(section, key, "an address is required")
		return
	}
	if a, ok := r.parseAddress(section, key, v); ok {
		*value = a
	}
}

func (r *reader) addresses(section, key string, value *[]netip.AddrPort) {
	if v, ok := r.key(section, key); !ok || v == "" {
		r.fault(section, key, "at least one address is required")
		return
	}
	r.optionalAddresses(section, key, value)
}

func (r *reader) optionalAddresses(section, key string, value *[]netip.AddrPort) {
	v, ok := r.key(section, key)
	if !ok || v == "" {
		return
	}
	for _, part := range strings.Split(v, ",") {
		if a, ok := r.parseAddress(section, key, strings.TrimSpace(part)); ok {
			*value = append(*value, a)
		}
	}
}

func (r *reader) parseAddress(section, key, v string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.fault(section, key, "%q is not an IP number with a port; host names are not accepted", v)
		return netip.AddrPort{}, false
	}
	return a, true
}

func (r *reader) count(section, key string, value *int64) {
	v, ok := r.key(section, key)
	if !ok {
		return
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n <= 0 {
		r.fault(section, key, "%q is not a whole number above zero", v)
		return
	}
	*value = n
}

func (r *reader) duration(key string, value *time.Duration) {
	v, ok := r.key("timing", key)
	if !ok {
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		r.fault("timing", key, "%q is not a duration above zero, such as 500ms", v)
		return
	}
	*value = d
}

func (r *reader) level(section, key string, value *slog.Level) {
	v, ok := r.key(section, key)
	if !ok {
		return
	}
	if err := value.UnmarshalText([]byte(v)); err != nil {
		r.fault(section, key, "%q is not one of debug, info, warn, error", v)
	}
}

func (r *reader) refuseUnknown() {
	sections := make(map[string]bool)
	for k := range r.known {
		sections[k.section] = true
	}
	for _, sec := range r.source.Sections() {
		name := sec.Name()
		if name == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if !sections[name] {
			r.fault(name, "", "unknown section")
			continue
		}
		for _, key := range sec.Keys() {
			if !r.known[sectionKey{name, key.Name()}] {
				r.fault(name, key.Name(), "unknown key")
			}
		}
	}
}

func (r *reader) fault(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{
		File:    r.file,
		Section: section,
		Key:     key,
		Line:    Line(r.data, section, key),
		Message: fmt.Sprintf(format, args...),
	})
}

// Line returns the line of a key in INI text, or of its section when the key
// is empty or absent, or zero. It counts from one.
func Line(data []byte, section, key string) int {
	found := 0
	inside := section == ini.DefaultSection
	n := 0
	for scanner := bufio.NewScanner(bytes.NewReader(data)); scanner.Scan(); {
		n++
		line := strings.TrimSpace(scanner.Text())
		if name, ok := sectionName(line); ok {
			inside = name == section
			if inside && found == 0 {
				found = n
			}
			continue
		}
		if inside && key != "" && keyName(line) == key {
			return n
		}
	}
	return found
}

func sectionName(line string) (string, bool) {
	if !strings.HasPrefix(line, "[") {
		return "", false
	}
	name, _, ok := strings.Cut(line[1:], "]")
	return strings.TrimSpace(name), ok
}

func keyName(line string) string {
	i := strings.IndexAny(line, "=:")
	if i < 0 {
		return ""
	}
	return strings.TrimSpace(line[:i])
}
