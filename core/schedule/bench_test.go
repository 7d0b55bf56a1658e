package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"sassafrasward/core/schedule"
)

// BenchmarkOffer measures one offer and one finish: with room, and with the slots full
// and one call queued per workspace.
func BenchmarkOffer(b *testing.B) {
	for _, targets := range []int{10, 100, 600} {
		for _, queued := range []int{0, 530} {
			b.Run(fmt.Sprintf("targets=%d/queued=%d", targets, queued), func(b *testing.B) {
				s := newScheduler(targets, 8, schedule.NewPolicy())
				now, last := train(s, 0, time.Millisecond), schedule.ID(0)
				running := make([]schedule.ID, 0, 2_000)
				offer := func() {
					last++
					c := newCall(last, now+time.Second, schedule.WithFingerprint(uint64(last)))
					if queued > 0 {
						c = schedule.NewCall(last, fmt.Sprint(last%530), now+time.Second)
					}
					if s.Offer(now, c).Verdict() == schedule.Started {
						running = append(running, last)
					}
				}
				for s.QueueLen() < queued || len(running) < 64 {
					offer()
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					now += 10 * time.Microsecond
					offer()
					id := running[0]
					running = running[1:]
					for _, start := range s.Finish(now, schedule.NewResult(id, schedule.Completed)).Starts() {
						running = append(running, start.ID())
					}
				}
			})
		}
	}
}
