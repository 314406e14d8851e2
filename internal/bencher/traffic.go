package bencher

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburntray/auburntray/internal/hasher"
)

// customer is a simulated customer. Its chats share a prompt prefix of sharedTokens.
type customer struct {
	id           uint32
	name         string
	prefixKey    uint64
	sharedTokens int
	model        int
}

// chat is a simulated chat, whose prompt grows with each turn.
type chat struct {
	key          uint64
	customer     *customer
	region       int
	promptTokens int
	// placement is the ID of the target that served the chat last, which callers send
	// back in a token; zero means none.
	placement uint32
}

// request is a turn of a chat.
type request struct {
	chat         *chat
	router       int
	promptTokens int
	// outputTokens is the actual length of the answer.
	outputTokens   int
	reusableTokens int
	work           float64
	target         *target
	waited         time.Duration
	surge          bool
	// seq, entry and cell identify the grant of homePolicy.
	seq   uint32
	entry uint64
	cell  uint32
}

// class is a kind of answer: its fraction of all answers and its maximum number of tokens.
// The classes are a full review, a note and a confirmation.
type class struct {
	fraction  float64
	maxTokens int
}

var classes = []class{{0.15, 1200}, {0.45, 320}, {0.4, 64}} //nolint:gochecknoglobals // A table.

const (
	// newChatProbability is the fraction of the requests that begin a chat.
	newChatProbability = 0.1
	// oldChatProbability is the fraction of returning requests that continue a chat of
	// any age; the others continue recent chats.
	oldChatProbability = 0.05
	popularityExponent = 1.1
	maxSharedTokens    = 3000
	maxTurnTokens      = 400
	maxChatTokens      = 24000
)

// traffic generates requests.
type traffic struct {
	random    *rand.Rand
	customers []*customer
	chats     []*chat
	// cumulativeWeights holds the running sum of the customers' weights.
	cumulativeWeights []float64
	chatCount         uint64
	size              Size
}

func newTraffic(s Size, r *rand.Rand) *traffic {
	t := &traffic{random: r, size: s}
	w := 0.0

	for i := range s.Customers {
		n := customerName(i)
		t.customers = append(t.customers, &customer{
			id: hasher.Name(n), name: n, prefixKey: hasher.Key("prefix", n),
			sharedTokens: 500 + r.IntN(maxSharedTokens), model: i % s.Models,
		})
		w += 1 / math.Pow(float64(i/s.Models+1), popularityExponent) / float64(i%s.Models+1)
		t.cumulativeWeights = append(t.cumulativeWeights, w)
	}

	return t
}

// surgeCustomers returns the three customers whose calls surge; all use the most used model.
func (t *traffic) surgeCustomers() []*customer {
	m := t.size.Models

	return []*customer{t.customers[0], t.customers[m], t.customers[2*m]}
}

// nextRequest returns the next request. It begins a chat of c, or, if c is nil, begins
// or continues a chat of any customer.
func (t *traffic) nextRequest(c *customer) *request {
	if c != nil || len(t.chats) == 0 || t.random.Float64() < newChatProbability {
		return t.nextTurn(t.beginChat(c))
	}

	// Most chats continue within minutes, so recent ones are more likely.
	n := len(t.chats)
	i := n - 1 - int(t.random.ExpFloat64()*t.size.Rate*30) //nolint:mnd // 30 s on average.

	if i < 0 || t.random.Float64() < oldChatProbability {
		i = t.random.IntN(n)
	}

	t.chats[i], t.chats[n-1] = t.chats[n-1], t.chats[i]

	return t.nextTurn(t.chats[n-1])
}

func (t *traffic) beginChat(c *customer) *chat {
	if c == nil {
		x := t.random.Float64() * t.cumulativeWeights[len(t.cumulativeWeights)-1]
		i, j := 0, len(t.cumulativeWeights)-1

		for i < j {
			if m := (i + j) / 2; t.cumulativeWeights[m] < x {
				i = m + 1
			} else {
				j = m
			}
		}

		c = t.customers[i]
	}

	t.chatCount++
	h := &chat{
		key: hasher.Key("chat") ^ t.chatCount*0x9e3779b97f4a7c15, customer: c,
		region: t.random.IntN(t.size.Regions), promptTokens: c.sharedTokens,
	}
	t.chats = append(t.chats, h)

	return h
}

func (t *traffic) nextTurn(h *chat) *request {
	k := t.random.Float64()
	c := classes[0]

	for _, c = range classes {
		if k -= c.fraction; k < 0 {
			break
		}
	}

	// Answers are heavy-tailed below their limit.
	o := int(float64(c.maxTokens) * min(1, math.Exp(0.6*t.random.NormFloat64()-0.6))) //nolint:mnd // About half the limit.
	q := &request{
		chat: h, reusableTokens: h.promptTokens, promptTokens: h.promptTokens + 20 + t.random.IntN(maxTurnTokens),
		outputTokens: max(o, 1),
	}

	h.promptTokens = q.promptTokens + q.outputTokens
	if h.promptTokens > maxChatTokens {
		h.promptTokens = h.customer.sharedTokens
	}

	return q
}
