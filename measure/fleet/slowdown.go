package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// SlowdownProfile describes moments in which the VM of a leaf is slower than usual, and what
// the leaf says about them in the fourth figure of its load reports.
type SlowdownProfile struct {
	// Times is how much longer work takes in the worst of them, For their mean length and
	// Share the share of the time that they take.
	Times, Share float64
	For          time.Duration
	// Reported means that load reports have the fourth figure. FalseShare of the leafs report
	// a figure that has nothing to do with their VM, and Missing of the reports lack it.
	Reported            bool
	FalseShare, Missing float64
}

// slowdown is the course of the speed of a VM. Its random numbers are its own, so that
// policies which send differently meet the same moments.
type slowdown struct {
	profile SlowdownProfile
	rand    *rand.Rand
	false   bool
	// phases are drawn as needed.
	phases []phase
}

// kneeSlowdown is how much longer work takes for each request beyond the knee of a leaf.
const kneeSlowdown = 0.5

// contention returns the factor by which work that starts now takes longer because of the
// other requests that run.
func (l *leaf) contention() float64 {
	if !l.hasKnee {
		return 1
	}
	return 1 + kneeSlowdown*float64(max(0, l.running-l.profile.Knee))
}

// phase is a time in which work takes factor times as long.
type phase struct {
	until  model.Time
	factor float64
}

func newSlowdown(p SlowdownProfile, seed, leaf uint64) *slowdown {
	if p.Share <= 0 && !p.Reported {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, leaf+1))
	return &slowdown{profile: p, rand: r, false: r.Float64() < p.FalseShare, phases: []phase{{0, 1}}}
}

// reaching draws phases up to a time and returns the index of the one that has it.
func (s *slowdown) reaching(t model.Time) int {
	for s.phases[len(s.phases)-1].until <= t {
		last := s.phases[len(s.phases)-1]
		if s.profile.Share <= 0 {
			s.phases = append(s.phases, phase{model.Never, 1})
			break
		}
		next := phase{factor: 1}
		mean := float64(s.profile.For) * (1 - s.profile.Share) / s.profile.Share
		length := time.Duration(mean * s.rand.ExpFloat64())
		if last.factor == 1 && last.until > 0 {
			next.factor = 1.5 + (s.profile.Times-1.5)*s.rand.Float64()
			length = time.Duration(float64(s.profile.For) * (0.5 + s.rand.Float64()))
		}
		next.until = last.until.Add(max(time.Millisecond, length))
		s.phases = append(s.phases, next)
	}
	i := len(s.phases) - 1
	for i > 0 && s.phases[i-1].until > t {
		i--
	}
	return i
}

// took returns how long work takes that begins at a time.
func (s *slowdown) took(from model.Time, work time.Duration) time.Duration {
	if s == nil {
		return work
	}
	left, now := float64(work), from
	for i := s.reaching(from); ; i = s.reaching(now) {
		p := s.phases[i]
		if now.Add(time.Duration(left*p.factor)) <= p.until {
			return now.Add(time.Duration(left * p.factor)).Sub(from)
		}
		left -= float64(p.until.Sub(now)) / p.factor
		now = p.until
	}
}

// reported returns the fourth figure of a report that is sent at a time; 0 for none.
func (s *slowdown) reported(t model.Time) float64 {
	switch {
	case s == nil || !s.profile.Reported || s.profile.Missing > 0 && s.rand.Float64() < s.profile.Missing:
		return 0
	case s.false:
		return 1 + (s.profile.Times-1)*float64(t/model.Time(s.profile.For)%2)
	}
	return s.phases[s.reaching(t)].factor
}
