package edged

import (
	"testing"
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
