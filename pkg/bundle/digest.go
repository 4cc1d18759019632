package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// canonicalPrefix makes the digest differ from that of any other document and
// of any later encoding.
const canonicalPrefix = "pistachiousher bundle 1\n"

// The canonical types fix the order and names of the fields in the digest.
// Field names of package model can change without changing digests.
type (
	canonicalBundle struct {
		Version  uint64             `json:"version"`
		Services []canonicalService `json:"services"`
		Servers  []canonicalServer  `json:"backend_servers"`
	}
	canonicalService struct {
		Name    model.ServiceName `json:"name"`
		Policy  canonicalPolicy   `json:"policy"`
		Callers []canonicalCaller `json:"callers"`
		Layouts []canonicalLayout `json:"layouts"`
	}
	canonicalPolicy struct {
		Mode            model.CoverageMode `json:"mode"`
		Routing         model.Routing      `json:"routing"`
		Target          time.Duration      `json:"target"`
		MaxDeadline     time.Duration      `json:"max_deadline"`
		HedgePercentile float64            `json:"hedge_percentile"`
		HedgeBudget     float64            `json:"hedge_budget"`
		RetryBudget     float64            `json:"retry_budget"`
		QueueLimit      int                `json:"queue_limit"`
		MaxInFlight     int                `json:"max_in_flight"`
	}
	canonicalCaller struct {
		Name  model.CallerName `json:"name"`
		Share float64          `json:"share"`
	}
	canonicalLayout struct {
		Name   model.LayoutName `json:"name"`
		Shards []canonicalShard `json:"shards"`
	}
	canonicalShard struct {
		Name     model.ShardName    `json:"name"`
		From     string             `json:"from"`
		To       string             `json:"to"`
		Replicas []model.ServerName `json:"replicas"`
	}
	canonicalServer struct {
		Name          model.ServerName    `json:"name"`
		FailureDomain model.FailureDomain `json:"failure_domain"`
		Region        string              `json:"region,omitempty"`
		Address       string              `json:"address"`
		Slots         int                 `json:"slots"`
		Connections   int                 `json:"connections"`
		ConnectCost   time.Duration       `json:"connect_cost"`
		Cold          canonicalCold       `json:"cold"`
	}
	canonicalCold struct {
		Slots    int `json:"slots"`
		Requests int `json:"requests"`
	}
)

// Digest returns the SHA-256 in hexadecimal of the bundle's canonical
// encoding. Comments, key order and spelled-out defaults do not change it; the
// order of lists does.
func Digest(b *model.Bundle) string {
	encoded, err := json.Marshal(canonicalizeBundle(b))
	if err != nil {
		// Parse accepts no value that JSON cannot represent.
		panic(fmt.Sprintf("bundle: canonical encoding: %v", err))
	}
	sum := sha256.Sum256(append([]byte(canonicalPrefix), encoded...))
	return hex.EncodeToString(sum[:])
}

func canonicalizeBundle(b *model.Bundle) canonicalBundle {
	c := canonicalBundle{Version: b.Version}
	for _, s := range b.Services {
		c.Services = append(c.Services, canonicalizeService(s))
	}
	for _, s := range b.Servers {
		c.Servers = append(c.Servers, canonicalServer{
			Name: s.Name, FailureDomain: s.FailureDomain, Region: s.Region, Address: s.Address,
			Slots: s.Slots, Connections: s.Connections, ConnectCost: s.ConnectCost,
			Cold: canonicalCold(s.Cold),
		})
	}
	return c
}

func canonicalizeService(s model.Service) canonicalService {
	c := canonicalService{Name: s.Name, Policy: canonicalPolicy(s.Policy)}
	for _, caller := range s.Callers {
		c.Callers = append(c.Callers, canonicalCaller(caller))
	}
	for _, l := range s.Layouts {
		layout := canonicalLayout{Name: l.Name}
		for _, sh := range l.Shards {
			layout.Shards = append(layout.Shards, canonicalShard(sh))
		}
		c.Layouts = append(c.Layouts, layout)
	}
	return c
}
