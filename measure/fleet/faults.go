package fleet

import (
	"math"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// scheduleFaults schedules the faults of the profile.
func (w *world) scheduleFaults() {
	for _, f := range w.profile.Faults {
		begin := model.Time(warmUpTime).Add(f.At)
		end := begin.Add(f.For)
		switch f.Kind {
		case FaultBurst:
			w.at(begin, func() { w.rate *= f.Times })
			w.at(end, func() { w.rate /= f.Times })
		case FaultSurge:
			for _, x := range w.senders {
				if x.name == f.Tenant {
					w.at(begin, func() { x.times *= f.Times })
					w.at(end, func() { x.times /= f.Times })
				}
			}
		case FaultGiveUp:
			w.at(begin, func() { w.giveUp = f.Share })
			w.at(end, func() { w.giveUp = 0 })
		case FaultSlow, FaultDark, FaultFail, FaultLose:
			var hit []*leaf
			w.at(begin, func() {
				hit = w.someLeafs(f.Share)
				for _, l := range hit {
					l.apply(f, true)
				}
			})
			w.at(end, func() {
				for _, l := range hit {
					l.apply(f, false)
				}
			})
		case FaultRepartition:
			w.at(begin, func() { w.store.setConfig(w, w.config(w.store.config.Version+1, true)) })
		case FaultRestart:
			w.at(begin, w.stopAll)
			for _, d := range w.daemons {
				w.at(end.Add(durationUpTo(w, f.For/4)), d.start)
			}
		case FaultStoreOutage:
			w.at(begin, func() { w.store.down = true })
			w.at(end, func() { w.store.down = false; w.store.changed(w) })
		}
	}
}

func (w *world) stopAll() {
	for _, d := range w.daemons {
		d.stop()
	}
}

// someLeafs draws a share of the leafs of services with several shards, at most one of
// each shard unless the share is over a half.
func (w *world) someLeafs(share float64) []*leaf {
	var all []*leaf
	for _, s := range w.profile.Services {
		for _, shard := range shardNames(s) {
			if s.Shards < 2 {
				continue
			}
			of := w.store.leafsOf(shard)
			w.rand.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
			if share <= 0.5 {
				of = of[:int(math.Ceil(float64(len(of))/2))]
			}
			for _, id := range of {
				all = append(all, w.leafs[id])
			}
		}
	}
	w.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := int(share * float64(len(w.leafs)))
	return slices.Clone(all[:min(n, len(all))])
}
