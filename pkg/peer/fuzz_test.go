package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/peer/peerpb"
)

// Guards against messages of peers that make a daemon panic or give an outcome
// that does not exist.
func FuzzMessages(f *testing.F) {
	for _, m := range []proto.Message{
		&peerpb.ExecuteRequest{}, toExecute(model.Header{}, 3, []model.SubRequest{{Attempt: 1, Class: 1}}, 5),
		toResult(model.Header{}, &model.SubResult{Outcome: model.OutcomeOK, Items: []model.Item{{ID: "a"}}}),
		toForward(model.Header{}, &model.Request{ID: "i"}, 4),
	} {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var execute peerpb.ExecuteRequest
		if proto.Unmarshal(raw, &execute) == nil {
			fromExecute(&execute)
		}
		var result peerpb.ExecuteResponse
		if proto.Unmarshal(raw, &result) == nil {
			if r := fromResult(&result); r.Outcome > model.OutcomeLost {
				t.Fatalf("outcome %d", r.Outcome)
			}
		}
		var forward peerpb.ForwardRequest
		if proto.Unmarshal(raw, &forward) == nil {
			fromForward(&forward)
		}
		var heartbeat peerpb.HeartbeatRequest
		if proto.Unmarshal(raw, &heartbeat) == nil {
			fromMember(&heartbeat)
		}
		var exchange peerpb.ExchangeRequest
		if proto.Unmarshal(raw, &exchange) == nil {
			fromServerReports(exchange.GetServers())
			fromMemberReports(exchange.GetMembers())
		}
	})
}
