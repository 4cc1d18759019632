package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/daemon"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/cluster"
	"github.com/pistachiousher/pistachiousher/standin/command"
)

const (
	backendServers = 8
	entryDaemons   = 3
	topK           = 20
	// waitLimit bounds the wait for an expected result.
	waitLimit = 15 * time.Second
	pollEvery = 100 * time.Millisecond
)

// corpus describes the documents that the backend servers generate.
var corpus = backend.Corpus{Documents: 400, Seed: 7}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pistachiousher":  main,
		"pistachiousherd": func() { os.Exit(daemon.Main(os.Args[1:], os.Stderr)) },
		"standin":         func() { os.Exit(command.Main(os.Args[1:])) },
	})
}

// Guards against programs that work only within one process: the script runs
// the platform, every backend server and every daemon as a separate process.
func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"keygen":  cmdKeygen,
			"expand":  cmdExpand,
			"listens": cmdListens,
			"vms":     cmdVMs,
			"answer":  cmdAnswer,
			"lists":   cmdLists,
			"sigterm": cmdSigterm,
		},
	})
}

// setup assigns addresses and writes the settings files of the backend servers.
func setup(e *testscript.Env) error {
	names := []string{"PLATFORM"}
	for i := range backendServers {
		names = append(names, fmt.Sprintf("B%d", i+1))
	}
	for i := range entryDaemons {
		names = append(names, fmt.Sprintf("CALLER%d", i+1), fmt.Sprintf("PEER%d", i+1), fmt.Sprintf("ADMIN%d", i+1))
	}
	addresses, err := freeAddresses(len(names))
	if err != nil {
		return err
	}
	for i, name := range names {
		e.Setenv(name, addresses[i])
	}
	for i := range backendServers {
		if err := writeBackend(e, i); err != nil {
			return err
		}
	}
	return nil
}

// freeAddresses returns loopback addresses with free ports below the system's
// range of ephemeral ports, so that no outgoing connection takes them before the
// processes listen.
func freeAddresses(n int) ([]string, error) {
	const first, count = 15_000, 17_000
	var list []string
	for range 100 * n {
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer l.Close() // Stays open until all are found, so that no port is returned twice.
		if list = append(list, address); len(list) == n {
			return list, nil
		}
	}
	return nil, fmt.Errorf("found %d of %d free ports", len(list), n)
}

// writeBackend writes the settings file of backend server i. It holds a replica
// of shard i/2+1; each of the four shards has a quarter of the keys.
func writeBackend(e *testscript.Env, i int) error {
	shard, quarter := i/2, corpus.Documents/4
	from, to := fmt.Sprintf("k%05d", shard*quarter), fmt.Sprintf("k%05d", (shard+1)*quarter)
	text := fmt.Sprintf(`backends:
  - name: leaf-%d
    service: arhiv
    listen: %q
    slots: 4
    connections: 50
    service_time: 2ms
    corpus: {documents: %d, seed: %d}
    serves: [{layout: l1, shard: s%d, from: %s, to: %s, versions: [1]}]
`, i+1, e.Getenv(fmt.Sprintf("B%d", i+1)), corpus.Documents, corpus.Seed, shard+1, from, to)
	return os.WriteFile(filepath.Join(e.WorkDir, fmt.Sprintf("b%d.yaml", i+1)), []byte(text), 0o644)
}

// cmdKeygen generates an operator's private key and sets a variable to the
// public key: keygen VAR FILE.
func cmdKeygen(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Exec("pistachiousher", "bundle", "keygen", "-output", "json", args[1]))
	var key struct {
		PublicKey string `json:"public_key"`
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &key))
	ts.Setenv(args[0], key.PublicKey)
}

// cmdExpand replaces the variables in files: expand FILE...
func cmdExpand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}

// cmdListens waits until processes listen at all addresses: listens ADDRESS...
func cmdListens(ts *testscript.TestScript, _ bool, args []string) {
	for _, address := range args {
		poll(ts, func() error {
			c, err := net.Dial("tcp", address)
			if err == nil {
				c.Close()
			}
			return err
		})
	}
}

// cmdVMs sets the VM list of the platform: vms VM...
func cmdVMs(ts *testscript.TestScript, _ bool, args []string) {
	type vm struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	var list []vm
	for _, name := range args {
		list = append(list, vm{name, "live"})
	}
	body, err := json.Marshal(map[string]any{"vms": list})
	ts.Check(err)
	resp, err := http.Post("http://"+ts.Getenv("PLATFORM")+"/v1/control/vms", "application/json", bytes.NewReader(body))
	ts.Check(err)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("vms: status %d", resp.StatusCode)
	}
}

// cmdSigterm sends SIGTERM to the background process with an argument:
// sigterm ARG.
func cmdSigterm(ts *testscript.TestScript, _ bool, args []string) {
	i := slices.IndexFunc(ts.BackgroundCmds(), func(c *exec.Cmd) bool { return slices.Contains(c.Args, args[0]) })
	if i < 0 {
		ts.Fatalf("no background process with argument %s", args[0])
	}
	ts.Check(ts.BackgroundCmds()[i].Process.Signal(syscall.SIGTERM))
}

// cmdAnswer repeats a query until the answer of a daemon lacks exactly the named
// shards, and compares the answer with a direct search over the other shards:
// answer ADDRESS TEXT [MISSING-SHARD...].
func cmdAnswer(ts *testscript.TestScript, _ bool, args []string) {
	address, text, missing := args[0], args[1], args[2:]
	var answer api.Answer
	poll(ts, func() error {
		if err := ts.Exec("pistachiousher", "query", "-output", "json", "-entry", address, "-service", "arhiv",
			"-caller", "office", "-deadline", "1s", "-top-k", fmt.Sprint(topK), text); err != nil {
			return err
		}
		answer = api.Answer{}
		if err := json.Unmarshal([]byte(ts.ReadFile("stdout")), &answer); err != nil {
			return err
		}
		return compareShards(answer.Shards, answer.Complete, missing)
	})
	b, err := bundle.Parse("bundle.yaml", []byte(ts.ReadFile("bundle.yaml")))
	ts.Check(err)
	var names []model.ShardName
	for _, m := range missing {
		names = append(names, model.ShardName(m))
	}
	want := cluster.Search(&b.Services[0].Layouts[0], backend.Generate(corpus), text, topK, "", names...)
	ts.Check(compareItems(answer.Items, want))
}

// cmdLists waits until a lookup at a daemon returns exactly these VMs:
// lists ADDRESS VM...
func cmdLists(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, func() error {
		if err := ts.Exec("pistachiousher", "lookup", "-output", "json", "-entry", args[0], "-service", "arhiv", "-caller", "office"); err != nil {
			return err
		}
		var l api.Lookup
		if err := json.Unmarshal([]byte(ts.ReadFile("stdout")), &l); err != nil {
			return err
		}
		var got []string
		for _, a := range l.Addresses {
			got = append(got, string(a.VM))
		}
		slices.Sort(got)
		if !slices.Equal(got, args[1:]) {
			return fmt.Errorf("lookup names %v, want %v", got, args[1:])
		}
		return nil
	})
}

// compareShards compares the coverage stated in an answer with the expected
// missing shards.
func compareShards(s api.Shards, complete bool, missing []string) error {
	var got []string
	for _, m := range s.Missing {
		got = append(got, string(m.Shard))
	}
	slices.Sort(got)
	if !slices.Equal(got, missing) || complete != (len(missing) == 0) || s.Asked != 4 || s.Answered != 4-len(missing) {
		return fmt.Errorf("coverage %+v, complete %t; want %v missing of 4", s, complete, missing)
	}
	return nil
}

func compareItems(got []api.Item, want []cluster.Item) error {
	if len(got) != len(want) || len(want) == 0 {
		return fmt.Errorf("%d items, the direct search has %d", len(got), len(want))
	}
	for i, w := range want {
		if got[i].ID != w.ID || got[i].Score != w.Score {
			return fmt.Errorf("item %d is %s (%g), the direct search has %s (%g)", i, got[i].ID, got[i].Score, w.ID, w.Score)
		}
	}
	return nil
}

// poll runs f until it succeeds.
func poll(ts *testscript.TestScript, f func() error) {
	end := time.Now().Add(waitLimit)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("after %v: %v", waitLimit, strings.TrimSpace(err.Error()))
		}
		time.Sleep(pollEvery)
	}
}
