package gather

import (
	"strconv"
	"strings"
	"time"
)

// maxMissing is the maximum number of shards listed in the log for one request.
const maxMissing = 4

// describe returns the attempts and the state of an unanswered task for the log.
func (t *task) describe() string {
	var b strings.Builder
	b.WriteString(t.pool.name)
	for _, a := range t.attempts {
		b.WriteByte(' ')
		b.WriteString(string(a.purpose))
		b.WriteByte('@')
		b.WriteString(a.target())
		if a.ended {
			b.WriteByte(' ')
			b.WriteString(string(a.outcome))
		}
	}
	if t.waiting {
		b.WriteString(" waiting")
	}
	return b.String()
}

// describeNoServers describes, for the log, why a pool has no server that accepts new requests.
func (p *pool) describeNoServers() string {
	var draining, leaving, replaced int
	for _, s := range p.servers {
		switch {
		case s.Draining:
			draining++
		case s.isLeaving():
			leaving++
		case s.replaced:
			replaced++
		}
	}
	if len(p.servers) == 0 {
		return "no server of " + p.name + " is listed"
	}
	return "no server of " + p.name + " accepts requests: " + strconv.Itoa(draining) + " draining or evacuated, " +
		strconv.Itoa(leaving) + " leaving, " + strconv.Itoa(replaced) + " replaced"
}

// target returns the ID of the server of an attempt, or the address of its relay.
func (a *attempt) target() string {
	if a.server == nil {
		return a.relay.node.Address.String()
	}
	return a.server.ID
}

// explainSend returns, for the log, the measurements behind a further attempt of a task and the choice of its server.
func (e *Engine) explainSend(now time.Time, t *task, s *server) string {
	var b strings.Builder
	c := t.job.class
	b.WriteString("class median " + milliseconds(c.typical()) + " tail " + milliseconds(c.tail()))
	for _, a := range t.attempts {
		b.WriteString("; " + a.target())
		switch {
		case a.ended:
			b.WriteString(" ended: " + string(a.outcome))
		default:
			b.WriteString(" open for " + milliseconds(now.Sub(a.sentAt)))
		}
	}
	b.WriteString("; " + s.ID + s.describe(now))
	return b.String()
}

// describe returns the slowness of a server, its open attempts and the age of its last answer for the log.
func (s *server) describe(now time.Time) string {
	text := " slowness " + strconv.FormatFloat(s.slownessNow(now), 'f', 1, 64) + " open " + strconv.Itoa(len(s.open))
	if s.answeredAt.IsZero() {
		return text + " never answered"
	}
	return text + " answered " + milliseconds(now.Sub(s.answeredAt)) + " ago"
}

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}
