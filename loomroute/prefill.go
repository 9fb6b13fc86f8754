package loomroute

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// initialTokenTime is the estimate of a PrefillModel without observations.
	initialTokenTime = 10 * time.Microsecond
	// prefillMemory is the number of recent observations that determine the
	// estimate; older ones fade out.
	prefillMemory = 60
	// minPrefillSamples is the number of observations that are accepted as they
	// are, before there is a scale to recognize outliers by.
	minPrefillSamples = 12
	// maxResidualRatio is the ratio to the mean residual beyond which the weight
	// of an observation falls in proportion to its residual.
	maxResidualRatio = 1.5
	// minResidualShare is the share of the predicted time that the mean residual
	// is taken to be at least. Otherwise a model of very even observations would
	// take a change for a series of outliers.
	minResidualShare = 0.05
	// maxSlownessRatio bounds the ratio of one observation at an engine to the
	// prediction, in both directions.
	maxSlownessRatio = 3
	// slownessMemory is the number of recent observations that determine the
	// slowness of an engine, and priorSlownessSamples the number of observations
	// that the slowness of one outweighs.
	slownessMemory       = 20
	priorSlownessSamples = 4
)

// PrefillModel estimates how long the engines of a group take to process prompt
// tokens, from the times until the first token that were observed. It fits a line
// with a fixed part for each prompt and a part for each token, so that the time
// for starting a prompt and for the steps of other requests is not attributed to
// its tokens. Recent observations count most, and outliers, such as prompts
// whose cached parts had been evicted, count little. The methods are safe for
// concurrent use. The zero value is a model without observations.
type PrefillModel struct {
	mu sync.Mutex
	// samples is the number of observations, up to minPrefillSamples.
	samples int
	// weight, x, y, xx and xy are decayed sums over the observations: of their
	// weights, tokens, seconds, squared tokens, and products of tokens and
	// seconds.
	weight, x, y, xx, xy float64
	// residual is the decayed mean of the absolute residuals, in seconds.
	residual float64
	// slowness holds the observed slowness of each engine.
	slowness map[string]engineSlowness
}

// engineSlowness is the mean ratio of the observed to the predicted time at one
// engine.
type engineSlowness struct {
	samples int
	ratio   float64
}

// Observe records that the first token of a prompt arrived after took, when an
// engine had to process the given number of tokens until then, including those of
// prompts that were ahead.
func (m *PrefillModel) Observe(engine string, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n, seconds := float64(tokens), took.Seconds()
	fixed, perToken := m.line()
	residual := math.Abs(seconds - fixed - perToken*n)
	if prompt := perToken * n; prompt > fixed {
		m.observeSlowness(engine, (seconds-fixed)/prompt)
	}
	weight := 1.0
	scale := max(m.residual, minResidualShare*(fixed+perToken*n))
	if limit := maxResidualRatio * scale; m.samples >= minPrefillSamples && residual > limit && residual > 0 {
		weight = limit / residual
	}
	const decay = 1 - 1.0/prefillMemory
	m.weight = m.weight*decay + weight
	m.x = m.x*decay + weight*n
	m.y = m.y*decay + weight*seconds
	m.xx = m.xx*decay + weight*n*n
	m.xy = m.xy*decay + weight*n*seconds
	if m.samples < minPrefillSamples {
		m.samples++
		m.residual += (residual - m.residual) / float64(m.samples)
		return
	}
	m.residual = m.residual*decay + min(residual, 2*maxResidualRatio*scale)*(1-decay)
}

// observeSlowness records the ratio of the observed to the predicted time of one
// prompt. The caller holds mu.
func (m *PrefillModel) observeSlowness(engine string, ratio float64) {
	if m.samples < minPrefillSamples {
		return
	}
	ratio = min(max(ratio, 1.0/maxSlownessRatio), maxSlownessRatio)
	if m.slowness == nil {
		m.slowness = make(map[string]engineSlowness)
	}
	s := m.slowness[engine]
	s.samples = min(s.samples+1, slownessMemory)
	s.ratio += (ratio - s.ratio) / float64(s.samples)
	m.slowness[engine] = s
}

// EngineTokenTime returns the estimated time in which one engine processes a prompt
// token. It is that of the group until the engine has been observed often enough.
func (m *PrefillModel) EngineTokenTime(engine string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, perToken := m.line()
	s := m.slowness[engine]
	ratio := (s.ratio*float64(s.samples) + priorSlownessSamples) / float64(s.samples+priorSlownessSamples)
	return max(time.Duration(perToken*ratio*float64(time.Second)), time.Nanosecond)
}

// Retain forgets the engines that are not in keep.
func (m *PrefillModel) Retain(keep []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.slowness, func(id string, _ engineSlowness) bool { return !slices.Contains(keep, id) })
}

// line returns the fixed time of a prompt and the time per token in seconds. The
// origin counts as one more observation, which decides if all prompts have the
// same length. The caller holds mu.
func (m *PrefillModel) line() (fixed, perToken float64) {
	if m.weight == 0 {
		return 0, initialTokenTime.Seconds()
	}
	weight := m.weight + 1
	perToken = (weight*m.xy - m.x*m.y) / (weight*m.xx - m.x*m.x)
	fixed = (m.y - perToken*m.x) / weight
	if fixed < 0 || perToken <= 0 {
		// Without a fixed part the best fit is a line through the origin.
		return 0, m.xy / m.xx
	}
	return fixed, perToken
}

// TokenTime returns the estimated time to process one prompt token.
func (m *PrefillModel) TokenTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, perToken := m.line()
	return max(time.Duration(perToken*float64(time.Second)), time.Nanosecond)
}

// FixedTime returns the estimated time to the first token apart from the prompt's
// tokens.
func (m *PrefillModel) FixedTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	fixed, _ := m.line()
	return time.Duration(fixed * float64(time.Second))
}
