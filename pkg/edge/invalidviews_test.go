package edge

import (
	"net/http"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/answers/answerstest"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Guards against bytes that are no answer in the protocol and are taken for the view of
// another daemon.
func TestInvalidViews(t *testing.T) {
	for _, c := range answerstest.Cases("Content-Type: application/json\r\n", `{"kinds":{}}`) {
		t.Run(c.Name, func(t *testing.T) {
			p := NewPeers(nil, func(gateway.Event) {}, newRecordingFollower(newFakeStore()).Follower, noLag, func(string, error) {})
			if _, err := p.requestView(answerstest.Serve(t, c.Raw), nil, false, false); (err == nil) != (c.Status == http.StatusOK) {
				t.Errorf("error %v", err)
			}
		})
	}
}
