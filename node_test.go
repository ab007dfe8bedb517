package main

import (
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
)

// Guards against a capacity that is not taken from the flags, and against a node that does not start because its VM is small.
func TestCapacityFlags(t *testing.T) {
	settings := conf.Capacity{MemoryMB: 256, Descriptors: 4096}
	for _, x := range []struct {
		memoryMB, descriptors string
		want                  conf.Capacity
		fails                 bool
	}{
		{"", "", settings, false},
		{"284", "4100", conf.Capacity{MemoryMB: 284, Descriptors: 4100}, false},
		{"184.5", "", conf.Capacity{MemoryMB: 184.5, Descriptors: 4096}, false},
		{"1", "1", conf.Capacity{MemoryMB: conf.MinMemoryMB, Descriptors: conf.MinDescriptors}, false},
		{"NaN", "", settings, true},
		{"", "-1", settings, true},
	} {
		t.Run(x.memoryMB+" "+x.descriptors, func(t *testing.T) {
			is := is.New(t)
			c, v := nodeCommand{memoryMB: x.memoryMB, descriptors: x.descriptors}, settings
			is.Equal(c.setCapacity(&v) != nil, x.fails)
			is.Equal(v, x.want)
		})
	}
}
