package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
)

// Guards against committed samples that differ from the generator's output or that a node rejects.
func TestDocuments(t *testing.T) {
	for name, x := range documents() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			committed, err := os.ReadFile(name + ".json")
			is.NoErr(err)
			generated, err := encode(x)
			is.NoErr(err)
			is.True(string(committed) == string(generated)) // run: go run ./sample sample
			d, err := conf.ParseDocument(committed)
			is.NoErr(err)
			is.Equal(d.Check().Lines(), "")
			is.Equal(conf.Hash(d), conf.Hash(x))
		})
	}
}

// Guards against deployments in which the loss of one failure domain removes all replicas of a shard, and
// against callers without access.
func TestDeployments(t *testing.T) {
	for _, x := range deployments() {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			d := x.document()
			is.Equal(len(d.Services), 52)
			for _, c := range x.callers {
				found, ok := conf.Authenticate(d, keyPrefix+c.name)
				is.True(ok)
				is.Equal(found.Name, c.name)
			}
			for _, s := range d.Services {
				domain := map[string]string{}
				for _, v := range s.Servers {
					domain[v.Address.String()] = v.FailureDomain
				}
				for _, h := range s.Indexes[0].Shards {
					is.True(domain[h.Servers[0].String()] != domain[h.Servers[1].String()])
				}
			}
		})
	}
}

// Guards against sample settings that a node rejects.
func TestSettings(t *testing.T) {
	is := is.New(t)
	var files []string
	for _, pattern := range []string{"node*.json", "route-*.json"} {
		found, err := filepath.Glob(pattern)
		is.NoErr(err)
		is.True(len(found) > 0)
		files = append(files, found...)
	}
	for _, name := range files {
		b, err := os.ReadFile(name)
		is.NoErr(err)
		s, err := conf.ParseSettings(b)
		is.NoErr(err)
		is.Equal(s.Check().Lines(), "")
	}
}

// BenchmarkInstall measures the parsing, checking and hashing of a document that a node reads from the platform.
func BenchmarkInstall(b *testing.B) {
	raw, err := os.ReadFile("tw-west.json")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		d, err := conf.ParseDocument(raw)
		if err != nil || len(d.Check()) > 0 || conf.Hash(d) == "" {
			b.Fatal("document not accepted")
		}
	}
}
