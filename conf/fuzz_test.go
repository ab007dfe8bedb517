package conf

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// The fuzz targets guard against input that crashes a node, and against a value that changes when a node
// sends it to a peer.

func FuzzParseDocument(f *testing.F) {
	files, _ := filepath.Glob("testdata/check/document-*.json")
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := ParseDocument(b)
		if err != nil {
			return
		}
		strict := json.NewDecoder(bytes.NewReader(b))
		strict.DisallowUnknownFields()
		if err := strict.Decode(new(Document)); err != nil {
			t.Fatalf("accepted input that the strict decoder rejects: %v", err)
		}
		_ = d.Check().Error()
		again, err := ParseDocument(mustMarshal(t, d))
		if err != nil {
			t.Fatalf("parse again: %v", err)
		}
		if Hash(again) != Hash(d) {
			t.Fatal("hash differs after a round trip")
		}
	})
}

func FuzzParseDelta(f *testing.F) {
	older, newer := exampleDocument(2), exampleDocument(3)
	newer.Version = 2
	b, err := json.Marshal(Diff(older, newer))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := ParseDelta(b)
		if err != nil {
			return
		}
		got, err := d.Apply(older)
		if err == nil && Hash(got) != d.Hash {
			t.Fatal("accepted a result whose hash does not match")
		}
	})
}

func FuzzParseSettings(f *testing.F) {
	b, err := os.ReadFile("testdata/check/settings-faults.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := ParseSettings(b)
		if err != nil {
			return
		}
		if len(s.Check()) == 0 && len(s.Keys()) != len(s.FleetKeys) {
			t.Fatal("accepted a fleet key that does not decode")
		}
		if _, err := ParseSettings(mustMarshal(t, s)); err != nil {
			t.Fatalf("parse again: %v", err)
		}
	})
}

func mustMarshal(t *testing.T, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
