package main

import (
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Worth of request kinds. Only the ratios matter: work of low worth waits and is refused first.
const (
	worthBrowse = 1
	worthSearch = 3
	worthLookUp = 10
	worthOrder  = 30
)

// Timeouts of request kinds. Callers may ask for less.
const (
	lookUpTimeout = wire.Duration(time.Second)
	searchTimeout = wire.Duration(2 * time.Second)
	orderTimeout  = wire.Duration(5 * time.Second)
)

// lookUp is a kind whose answer is acted upon, so it must cover all shards.
func lookUp(name string) conf.Kind {
	return conf.Kind{Name: name, Worth: worthLookUp, MinCoverage: 1, Idempotent: true, MaxTimeout: lookUpTimeout}
}

func search(name string, coverage float64) conf.Kind {
	return conf.Kind{Name: name, Worth: worthSearch, MinCoverage: coverage, Idempotent: true, MaxTimeout: searchTimeout}
}

func browse(name string) conf.Kind {
	return conf.Kind{Name: name, Worth: worthBrowse, MinCoverage: 0.8, Idempotent: true, MaxTimeout: searchTimeout}
}

// order is a kind that runs at most once.
func order(name string) conf.Kind {
	return conf.Kind{Name: name, Worth: worthOrder, MinCoverage: 1, MaxTimeout: orderTimeout}
}

// small is the shape of the services of a desk, board or portal.
func small(name string, services int, kinds ...conf.Kind) group {
	return group{
		name: name, services: services, servers: 2, slots: 2, cold: 1, connections: 25,
		shards: []int{12}, kinds: kinds,
	}
}

// large is the shape of the services that hold the main records. Two published indexes with
// another partitioning show a change of version.
func large(name string, servers, connections, shards int, kinds ...conf.Kind) group {
	return group{
		name: name, services: 1, servers: servers, slots: 6, cold: 2, connections: connections,
		shards: []int{shards, shards * 6 / 7}, kinds: kinds,
	}
}

// presets returns the presets ordinary, peak and maintenance. A peak spends less on extra
// requests and puts off the kinds that can wait; in maintenance, when a failure domain is out,
// the rest of the servers has no room for them either.
func presets(orders, canWait []string) []conf.Preset {
	peak, maintenance := map[string]float64{}, map[string]float64{}
	for _, k := range orders {
		peak[k] = 2
		maintenance[k] = 2
	}
	for _, k := range canWait {
		peak[k] = 0.3
		maintenance[k] = 0.5
	}
	return []conf.Preset{
		{Name: "ordinary", HedgeBudget: 0.02, RetryBudget: 0.1, QueueLimit: 256},
		{Name: "peak", HedgeBudget: 0.01, RetryBudget: 0.05, QueueLimit: 128, Worth: peak},
		{Name: "maintenance", HedgeBudget: 0.02, RetryBudget: 0.1, QueueLimit: 256, Worth: maintenance},
	}
}

func deployments() []deployment {
	return []deployment{bureau(), cooperative()}
}

// bureau is the deployment of the Taiwan Wooden Clog Orders Bureau.
func bureau() deployment {
	return deployment{
		name: "tw-west", region: "tw-west", domains: []string{"Lukang", "Yilan", "Chiayi"}, port: 21000,
		groups: []group{
			small("cooperative-desk", 20,
				lookUp("stock-lookup"), lookUp("order-lookup"), search("carver-search", 0.9), order("place-order")),
			small("festival-board", 30,
				lookUp("deadline-lookup"), search("stall-search", 0.95), browse("programme-browse")),
			large("workshop-ledger", 5, 100, 140,
				lookUp("stock-lookup"), lookUp("order-lookup"), browse("history-browse"), order("place-order")),
			large("school-buying", 3, 100, 84,
				lookUp("quote-lookup"), search("size-search", 0.9), order("place-order")),
		},
		callers: []caller{
			{"bureau", nil},
			{"cooperatives", []string{"cooperative-desk", "workshop-ledger"}},
			{"school-buyers", []string{"school-buying"}},
			{"festival-organisers", []string{"festival-board"}},
		},
		presets: presets([]string{"place-order"}, []string{"programme-browse", "history-browse"}),
	}
}

// cooperative is the deployment of Souches Ensemble Coopérative de Maurice.
func cooperative() deployment {
	return deployment{
		name: "mu-island", region: "mu-island", domains: []string{"Port Louis", "Curepipe", "Mahebourg"}, port: 22000,
		groups: []group{
			small("dispatch-desk", 20,
				lookUp("crew-lookup"), lookUp("booking-lookup"), search("job-search", 0.95), order("book-grinder")),
			small("member-portal", 30,
				lookUp("job-lookup"), search("stump-search", 0.9), browse("history-browse")),
			large("billing-office", 4, 50, 112,
				lookUp("invoice-lookup"), browse("statement-browse"), order("bill-member")),
			large("grinder-yard", 3, 50, 84,
				lookUp("booking-lookup"), search("availability-search", 0.95), order("book-grinder")),
		},
		callers: []caller{
			{"cooperative", nil},
			{"crews", []string{"dispatch-desk", "grinder-yard"}},
			{"dispatchers", []string{"dispatch-desk", "grinder-yard", "billing-office"}},
			{"members", []string{"member-portal"}},
		},
		presets: presets([]string{"bill-member", "book-grinder"}, []string{"history-browse", "statement-browse"}),
	}
}
