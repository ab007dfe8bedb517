package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
)

// Guards against committed examples that differ from their generator, that a node refuses, or
// that lose the only replica of a shard with one failure domain.
func TestDocuments(t *testing.T) {
	for _, x := range deployments() {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			committed, err := os.ReadFile(x.name + ".json")
			is.NoErr(err)
			generated, err := encode(x.document())
			is.NoErr(err)
			is.True(string(committed) == string(generated)) // run: go run ./examples examples
			d, err := conf.ParseDocument(committed)
			is.NoErr(err)
			is.Equal(d.Check().Lines(), "")
			is.Equal(len(d.Services), 52)
			is.Equal(conf.Hash(d), conf.Hash(x.document()))
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

// Guards against example settings that a node refuses.
func TestSettings(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("node*.json")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, name := range files {
		b, err := os.ReadFile(name)
		is.NoErr(err)
		s, err := conf.ParseSettings(b)
		is.NoErr(err)
		is.Equal(s.Check().Lines(), "")
	}
}

// BenchmarkInstall measures what a node does with a document that it reads from the platform.
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
