package edged

import (
	"testing"
	"time"
)

const goodSettings = `vm: edge-1
failure_domain: a
regions: [{failure_domain: a, region: north}]
listen: {caller: "127.0.0.1:80", ready: "127.0.0.1:81", directory: "127.0.0.1:82", admin: "127.0.0.1:83"}
peer_port: 7380
seeds: ["127.0.0.1:84"]
store: "127.0.0.1:85"
processor: {share: 0.4, cores: 1}
retry: {ratio: 0.2, slack: 50}
stop: 6s
contact_loss: 4s
`

// Guards against settings that are accepted although a daemon cannot run with them.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Add([]byte("vm: edge-1\nlisten: {caller: nowhere}\n"))
	f.Add([]byte("peer_port: 99999\nretry: {ratio: .nan}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings("f", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v and error %v", s, err)
		}
		if s == nil {
			return
		}
		if s.ownIP() == "" || s.PeerPort == 0 || s.StopTimeout <= stopMargin || !(s.Retry.Ratio >= 0 && s.Retry.Ratio <= 1) || !(s.Cores >= 0) {
			t.Fatalf("accepted %+v", s)
		}
	})
}

// Guards against limits of the fleet that are read with another unit, or that take effect where
// the platform states none.
func TestLimitsOfTheFleet(t *testing.T) {
	s, err := ParseSettings("f", []byte(goodSettings))
	if err != nil || s.Quota != (QuotaSettings{}) || s.Rollout != nil {
		t.Errorf("without limits: %+v, %+v, %v", s.Quota, s.Rollout, err)
	}
	s, err = ParseSettings("f", []byte(goodSettings+`quota: {window: 5s, overshoot: 0.1, slack: 20}
rollout: {share: 0.1, slack: 50, stop_within: 4000ms, order_within: 6000ms}
`))
	if err != nil {
		t.Fatal(err)
	}
	if want := (QuotaSettings{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}); s.Quota != want {
		t.Errorf("quota %+v, want %+v", s.Quota, want)
	}
	if want := (RolloutSettings{Share: 0.1, Slack: 50, StopWithin: 4 * time.Second, OrderWithin: 6 * time.Second}); s.Rollout == nil || *s.Rollout != want {
		t.Errorf("rollout %+v, want %+v", s.Rollout, want)
	}
	for _, bad := range []string{"quota: {window: 0s}\n", "quota: {overshoot: -1}\n", "rollout: {share: 2}\n", "rollout: {window: 5s}\n"} {
		if _, err := ParseSettings("f", []byte(goodSettings+bad)); err == nil {
			t.Errorf("accepted %q", bad)
		}
	}
}
