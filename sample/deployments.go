package main

import (
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Worth of request kinds. Only the ratios matter: requests of low worth are queued and refused first.
const (
	worthBrowse = 1
	worthSearch = 3
	worthLookUp = 10
	worthOrder  = 30
)

// Maximum timeouts of request kinds. Callers may request shorter ones.
const (
	lookUpTimeout = wire.Duration(time.Second)
	searchTimeout = wire.Duration(2 * time.Second)
	orderTimeout  = wire.Duration(5 * time.Second)
)

// lookUpKind returns a kind that must cover all shards, because callers act on the answer.
func lookUpKind(name string) conf.Kind {
	return conf.Kind{Name: name, Worth: worthLookUp, MinCoverage: 1, Idempotent: true, MaxTimeout: lookUpTimeout}
}

func searchKind(name string, coverage float64) conf.Kind {
	return conf.Kind{Name: name, Worth: worthSearch, MinCoverage: coverage, Idempotent: true, MaxTimeout: searchTimeout}
}

func browseKind(name string) conf.Kind {
	return conf.Kind{Name: name, Worth: worthBrowse, MinCoverage: 0.8, Idempotent: true, MaxTimeout: searchTimeout}
}

// orderKind returns a kind that is executed at most once.
func orderKind(name string) conf.Kind {
	return conf.Kind{Name: name, Worth: worthOrder, MinCoverage: 1, MaxTimeout: orderTimeout}
}

// smallGroup returns a group of services for a desk, board or portal.
func smallGroup(name string, services int, kinds ...conf.Kind) group {
	return group{
		name: name, services: services, servers: 2, slots: 2, coldSlots: 1, connections: 25,
		shards: []int{12}, kinds: kinds,
	}
}

// largeGroup returns a group with one service that holds the main records. It publishes two indexes with different
// numbers of shards, to demonstrate a change of the index version.
func largeGroup(name string, servers, connections, shards int, kinds ...conf.Kind) group {
	return group{
		name: name, services: 1, servers: servers, slots: 6, coldSlots: 2, connections: connections,
		shards: []int{shards, shards * 6 / 7}, kinds: kinds,
	}
}

// presets returns the presets ordinary, peak and maintenance. The peak preset halves the hedge and retry budgets
// and lowers the worth of deferrable kinds. The maintenance preset, for use when a failure domain is out, also lowers
// their worth, because the remaining servers lack the capacity for them.
func presets(orders, deferrable []string) []conf.Preset {
	peak, maintenance := map[string]float64{}, map[string]float64{}
	for _, k := range orders {
		peak[k] = 2
		maintenance[k] = 2
	}
	for _, k := range deferrable {
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
			smallGroup("cooperative-desk", 20,
				lookUpKind("stock-lookup"), lookUpKind("order-lookup"), searchKind("carver-search", 0.9), orderKind("place-order")),
			smallGroup("festival-board", 30,
				lookUpKind("deadline-lookup"), searchKind("stall-search", 0.95), browseKind("programme-browse")),
			largeGroup("workshop-ledger", 5, 100, 140,
				lookUpKind("stock-lookup"), lookUpKind("order-lookup"), browseKind("history-browse"), orderKind("place-order")),
			largeGroup("school-buying", 3, 100, 84,
				lookUpKind("quote-lookup"), searchKind("size-search", 0.9), orderKind("place-order")),
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
			smallGroup("dispatch-desk", 20,
				lookUpKind("crew-lookup"), lookUpKind("booking-lookup"), searchKind("job-search", 0.95), orderKind("book-grinder")),
			smallGroup("member-portal", 30,
				lookUpKind("job-lookup"), searchKind("stump-search", 0.9), browseKind("history-browse")),
			largeGroup("billing-office", 4, 50, 112,
				lookUpKind("invoice-lookup"), browseKind("statement-browse"), orderKind("bill-member")),
			largeGroup("grinder-yard", 3, 50, 84,
				lookUpKind("booking-lookup"), searchKind("availability-search", 0.95), orderKind("book-grinder")),
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
