package membership

import (
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against daemons of two regions that both own a server: each region's
// epoch must list only its own servers.
func TestEpochListsServersOfItsRegion(t *testing.T) {
	b := &model.Bundle{Servers: []model.BackendServer{
		{Name: "s1", FailureDomain: "a", Region: "east"},
		{Name: "s0", FailureDomain: "b", Region: "west"},
		{Name: "s2", FailureDomain: "c"},
	}}
	homes := homesOf(b, "east")
	if len(homes) != 2 || homes[0].Server != "s1" || homes[1].Server != "s2" {
		t.Fatalf("servers of region east: %v", homes)
	}
}
