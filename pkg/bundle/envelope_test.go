package bundle

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"strings"
	"testing"
)

func testKey(n byte) (ed25519.PublicKey, ed25519.PrivateKey) {
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{n}, ed25519.SeedSize))
	return key.Public().(ed25519.PublicKey), key
}

func signedBy(t *testing.T, signers ...string) Envelope {
	t.Helper()
	e, err := NewEnvelope("b.yaml", []byte(validBundle))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range signers {
		_, key := testKey(s[0])
		if e, err = Sign(e, s, key); err != nil {
			t.Fatal(err)
		}
	}
	return e
}

// Guards against accepting a bundle that fewer operators signed than required.
func TestQuorum(t *testing.T) {
	a, _ := testKey('a')
	b, _ := testKey('b')
	keys := map[string]ed25519.PublicKey{"a": a, "a2": a, "b": b}
	twice := signedBy(t, "a", "b")
	twice.Signatures[1] = twice.Signatures[0]
	forged := signedBy(t, "a", "b")
	forged.Signatures[1].Bytes = forged.Signatures[0].Bytes
	for _, c := range []struct {
		name   string
		e      Envelope
		quorum int
		ok     bool
	}{
		{"two of two", signedBy(t, "a", "b"), 2, true},
		{"three of two", signedBy(t, "a", "b", "c"), 2, true},
		{"one of two", signedBy(t, "a"), 2, false},
		{"one signature twice", twice, 2, false},
		{"one key under two names", signedBy(t, "a", "a2"), 2, false},
		{"unknown signer", signedBy(t, "a", "c"), 2, false},
		{"signature of another", forged, 2, false},
		{"no quorum set", signedBy(t), 0, false},
	} {
		err := Verify(c.e, keys, c.quorum)
		if c.ok != (err == nil) || err != nil && !errors.Is(err, ErrSignatures) {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
}

// Guards against contents that are replaced while the signatures are kept.
func TestEnvelopeMustAgreeWithYAML(t *testing.T) {
	a, key := testKey('a')
	keys := map[string]ed25519.PublicKey{"a": a}
	for name, change := range map[string]func(*Envelope){
		"yaml":    func(e *Envelope) { e.YAML = strings.Replace(e.YAML, "58ms", "59ms", 1) },
		"version": func(e *Envelope) { e.Version++ },
		"digest":  func(e *Envelope) { e.Digest = strings.Repeat("0", 64) },
	} {
		e := signedBy(t, "a")
		change(&e)
		if err := Verify(e, keys, 1); !errors.Is(err, ErrEnvelope) {
			t.Errorf("%s changed: got %v", name, err)
		}
		if _, err := Sign(e, "a", key); !errors.Is(err, ErrEnvelope) {
			t.Errorf("%s changed: signed, %v", name, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	a, key := testKey('a')
	e, err := NewEnvelope("b.yaml", []byte(validBundle))
	if err != nil {
		f.Fatal(err)
	}
	if e, err = Sign(e, "a", key); err != nil {
		f.Fatal(err)
	}
	raw, err := e.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"version":1,"Version":2}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := Decode(raw, map[string]ed25519.PublicKey{"a": a}, 1)
		if (b == nil) == (err == nil) {
			t.Fatalf("got bundle %v and error %v", b, err)
		}
		if b != nil && Digest(b) != e.Digest {
			t.Fatalf("accepted a bundle that nobody signed: %s", raw)
		}
	})
}
