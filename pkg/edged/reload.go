package edged

import (
	"os"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

// silence is how long a daemon may be silent before it is not named to callers
// any more.
func (s *Settings) silence() time.Duration {
	return time.Duration(float64(s.ContactLoss) * silenceShare)
}

// seedAddresses are the peer addresses of other daemons that the settings name.
func (s *Settings) seedAddresses() []string {
	var out []string
	for _, ip := range s.Seeds {
		if ip != s.ip() {
			out = append(out, s.peerAddress(ip))
		}
	}
	return out
}

// modified returns the modification time of a file, zero if it cannot be read.
func modified(path string) time.Time {
	if path == "" {
		return time.Time{}
	}
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// settingsChanged reports whether the settings file was written since it was
// read.
func (d *daemon) settingsChanged() bool {
	at := modified(d.settings.Path)
	return !at.IsZero() && !at.Equal(d.settingsRead)
}

// reload reads the settings anew. A file that cannot be used changes nothing.
func (d *daemon) reload() {
	d.settingsRead = modified(d.settings.Path)
	s, err := LoadSettings(d.settings.Path)
	if err != nil {
		d.log.Write(logevent.EdgeSettingsInvalid, []logevent.Field{logevent.Str("error", err.Error())})
		return
	}
	d.runtime.Post(gateway.SettingsChanged{
		RetryRatio: s.Retry.Ratio, RetrySlack: s.Retry.Slack, MaxSilence: s.silence(), Seeds: s.seedAddresses(),
	})
	d.log.Write(logevent.EdgeSettingsRead, nil)
}
