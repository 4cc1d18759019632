package edged

import (
	"os"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

// maxSilence returns how long a daemon may be silent before it is no longer named
// to callers.
func (s *Settings) maxSilence() time.Duration {
	return time.Duration(float64(s.ContactLoss) * maxSilenceRatio)
}

// seedAddresses returns the peer addresses of the seeds, without this daemon's own.
func (s *Settings) seedAddresses() []string {
	var out []string
	for _, ip := range s.Seeds {
		if ip != s.ownIP() {
			out = append(out, s.peerAddress(ip))
		}
	}
	return out
}

// modTime returns the modification time of a file; the zero time if there is no
// path or the file cannot be examined.
func modTime(path string) time.Time {
	if path == "" {
		return time.Time{}
	}
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// settingsChanged reports whether the settings file has another modification time
// than when it was last read.
func (d *daemon) settingsChanged() bool {
	current := modTime(d.settings.Path)
	return !current.IsZero() && !current.Equal(d.settingsModTime)
}

// reloadSettings reads the settings file again and applies the retry budget, the
// contact loss, the bound on changes and the seeds. An invalid file is logged and changes nothing.
func (d *daemon) reloadSettings() {
	d.settingsModTime = modTime(d.settings.Path)
	s, err := LoadSettings(d.settings.Path)
	if err != nil {
		d.log.Write(logevent.EdgeSettingsInvalid, []logevent.Field{logevent.Str("error", err.Error())})
		return
	}
	d.runtime.Post(gateway.SettingsChanged{
		RetryRatio: s.Retry.Ratio, RetrySlack: s.Retry.Slack, MaxSilence: s.maxSilence(), ApplyWithin: s.ApplyWithin, Seeds: s.seedAddresses(),
	})
	d.log.Write(logevent.EdgeSettingsRead, nil)
}
