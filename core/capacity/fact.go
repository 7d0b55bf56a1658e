package capacity

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// logUnits is the number of units of a Fact in a factor of two, demandUnits that in the mean load of
	// a target. Differences below one unit are not published.
	logUnits    = 8
	demandUnits = 4
	// maxLog bounds a logarithm of a time ratio: a factor of 16 both ways.
	maxLog = 4.0
	// maxDemand bounds the demand for one target, in mean loads.
	maxDemand = 64.0
)

// Fact is the estimate of one process in the form in which hosts exchange it.
type Fact struct {
	// Process identifies the target and the start of its process; see ProcessOf.
	Process uint64
	// Version orders the facts about a process. Any host may raise it.
	Version uint64
	// Speed is the lasting time ratio and Slowdown the present one, in 1/logUnits of a factor of two.
	Speed, Slowdown int32
	// Demand is in 1/demandUnits of the mean load of a target.
	Demand uint32
	// Age is how long ago the fact was published.
	Age time.Duration
}

// ProcessOf returns the identity of a process of a target. A hash is a third of the size of the target's
// ID and start, and 600 targets collide with a probability below 1e-13.
func ProcessOf(target string, startID int64) (process uint64) {
	raw := append(make([]byte, 0, 64), target...)
	for shift := 0; shift < 64; shift += 8 {
		raw = append(raw, byte(startID>>shift))
	}
	return xxhash.Sum64(raw)
}

func quantiseLog(v float64) int32 { return int32(math.Round(clamp(v, maxLog) * logUnits)) }

func quantiseDemand(v float64) uint32 {
	return uint32(math.Round(min(max(v, 0), maxDemand) * demandUnits))
}

func (f Fact) speed() float64    { return clamp(float64(f.Speed)/logUnits, maxLog) }
func (f Fact) slowdown() float64 { return clamp(float64(f.Slowdown)/logUnits, maxLog) }
func (f Fact) demand() float64   { return min(float64(f.Demand)/demandUnits, maxDemand) }

// clamp bounds v to -limit to limit.
func clamp(v, limit float64) float64 { return min(max(v, -limit), limit) }
