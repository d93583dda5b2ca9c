package placement

import (
	"math"
	"time"
)

const (
	// ratioDecayTime is the time constant with which a server's ratio decays to
	// its lasting one, so that a slow server is tried again.
	ratioDecayTime = 5 * time.Second

	// ratioGain is the weight of one answer in a server's ratio.
	ratioGain = 0.25

	// maxRatio is the maximum ratio, and its inverse the minimum.
	maxRatio = 10

	// fitDiscount is the factor applied to the weight of a group's older answers
	// at each new one, so that about the last hundred count.
	fitDiscount = 0.99

	// ownVariance and waitVariance regularize the fit: they are added to the
	// variances of the two inputs, in square seconds, so that the slopes stay
	// stable where the points of a group differ little. They correspond to standard
	// deviations of 1 ms and 50 ms. WaitVariance is added to the covariance of wait
	// and measured time as well, which draws the slope for the wait toward 1: the
	// prediction as it stands.
	ownVariance  = 1e-6
	waitVariance = 0.05 * 0.05

	// minExpected is the minimum expected time, which keeps ratios finite.
	minExpected = time.Millisecond
)

type (
	// LatencyModel corrects predicted latencies by measured ones. For each group of
	// requests it fits an offset and two slopes, for the request's own time and
	// for its wait; for each server it tracks the ratio of measured to fitted
	// times. It is not safe for concurrent use.
	LatencyModel struct {
		fits    map[string]*linearFit
		servers map[string]*serverRatio
		// lasting returns the logarithm of a server's lasting ratio, toward which its own
		// one decays.
		lasting func(server string) float64
	}

	// linearFit is a least-squares fit of measured seconds y to predicted seconds: x
	// of the request's own time and w of its wait. Its fields are the weighted
	// sums, in which older points count less.
	linearFit struct {
		n, x, w, y, xx, xw, ww, xy, wy float64
	}

	// serverRatio is the logarithm of a server's measured over expected time.
	serverRatio struct {
		logRatio float64
		updated  time.Time
	}
)

// NewLatencyModel returns a model without measurements: predictions are not corrected.
func NewLatencyModel() *LatencyModel {
	return &LatencyModel{
		fits: make(map[string]*linearFit), servers: make(map[string]*serverRatio), lasting: func(string) float64 { return 0 },
	}
}

// SetLasting sets the source of the servers' lasting ratios, as natural logarithms. Without
// it all servers are average in the long run.
func (m *LatencyModel) SetLasting(lasting func(server string) float64) { m.lasting = lasting }

// Observe records the predicted and the measured time of an answer. A group is a set
// of requests with a common cost model, such as those for one model.
func (m *LatencyModel) Observe(now time.Time, group, server string, predicted Estimate, measured time.Duration) {
	if measured <= 0 {
		return
	}
	expected := m.ExpectedTime(now, group, server, predicted)
	r, ok := m.servers[server]
	if !ok {
		r = &serverRatio{logRatio: m.lasting(server), updated: now}
		m.servers[server] = r
	}
	r.decay(now, m.lasting(server))
	r.logRatio += ratioGain * math.Log(min(max(measured.Seconds()/expected.Seconds(), 1.0/maxRatio), maxRatio))
	r.logRatio = min(max(r.logRatio, -math.Log(maxRatio)), math.Log(maxRatio))
	m.fit(group).add(predicted.Own.Seconds(), predicted.Wait.Seconds(), measured.Seconds()/math.Exp(r.logRatio))
}

// ExpectedTime returns the corrected time of an answer at the server. The prediction is
// for a server of average speed.
func (m *LatencyModel) ExpectedTime(now time.Time, group, server string, predicted Estimate) time.Duration {
	return time.Duration(m.TypicalTime(group, predicted).Seconds() * m.ServerRatio(now, server) * float64(time.Second))
}

// TypicalTime returns the corrected time of an answer at a server of average speed.
func (m *LatencyModel) TypicalTime(group string, predicted Estimate) time.Duration {
	fitted := m.fit(group).value(predicted.Own.Seconds(), predicted.Wait.Seconds())
	return max(time.Duration(fitted*float64(time.Second)), minExpected)
}

// PrefillTime returns the corrected time of work that depends on the prompt's length,
// without the constant offset of each request.
func (m *LatencyModel) PrefillTime(group string, predicted time.Duration) time.Duration {
	own, _ := m.fit(group).slopes()
	return time.Duration(own * float64(predicted))
}

// ServerRatio returns the ratio of the server's times to those of an average server, its
// lasting one if it has not answered of late.
func (m *LatencyModel) ServerRatio(now time.Time, server string) float64 {
	r, ok := m.servers[server]
	if !ok {
		return math.Exp(m.lasting(server))
	}
	r.decay(now, m.lasting(server))
	return math.Exp(r.logRatio)
}

// fit returns the fit of the group, which is created when it is missing.
func (m *LatencyModel) fit(group string) *linearFit {
	f, ok := m.fits[group]
	if !ok {
		// These points leave predictions unchanged until answers are measured.
		f = &linearFit{}
		for _, x := range []float64{0.05, 0.2, 0.5, 1} {
			f.add(x, 0, x)
		}
		m.fits[group] = f
	}
	return f
}

// add adds a point and reduces the weight of older ones.
func (f *linearFit) add(x, w, y float64) {
	for _, sum := range []struct {
		to *float64
		by float64
	}{
		{&f.n, 1}, {&f.x, x}, {&f.w, w}, {&f.y, y}, {&f.xx, x * x}, {&f.xw, x * w}, {&f.ww, w * w}, {&f.xy, x * y}, {&f.wy, w * y},
	} {
		*sum.to = *sum.to*fitDiscount + sum.by
	}
}

// value returns the fitted time, which never decreases with x or w.
func (f *linearFit) value(x, w float64) float64 {
	own, wait := f.slopes()
	return f.y/f.n + own*(x-f.x/f.n) + wait*(w-f.w/f.n)
}

// slopes returns the slopes for the request's own time and for its wait, each 0 or
// more.
func (f *linearFit) slopes() (own, wait float64) {
	meanX, meanW, meanY := f.x/f.n, f.w/f.n, f.y/f.n
	xx, ww := max(f.xx/f.n-meanX*meanX, 0)+ownVariance, max(f.ww/f.n-meanW*meanW, 0)+waitVariance
	xw, xy, wy := f.xw/f.n-meanX*meanW, f.xy/f.n-meanX*meanY, f.wy/f.n-meanW*meanY+waitVariance
	determinant := max(xx*ww-xw*xw, ownVariance*waitVariance)
	own, wait = (xy*ww-wy*xw)/determinant, (wy*xx-xy*xw)/determinant
	switch {
	case own < 0:
		return 0, max(wy/ww, 0)
	case wait < 0:
		return max(xy/xx, 0), 0
	}
	return own, wait
}

// Retain removes all servers for which isKnown returns false.
func (m *LatencyModel) Retain(isKnown func(server string) bool) {
	for id := range m.servers {
		if !isKnown(id) {
			delete(m.servers, id)
		}
	}
}

// decay moves the ratio back toward the lasting one with time.
func (r *serverRatio) decay(now time.Time, lasting float64) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		r.logRatio = lasting + (r.logRatio-lasting)*math.Exp(-elapsed.Seconds()/ratioDecayTime.Seconds())
		r.updated = now
	}
}
