//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// expiry is how long a server may be silent until its entry is removed: three heartbeats.
const expiry = 3 * heartbeat

// heartbeat is the interval at which servers write their entries.
const heartbeat = 1200 * time.Millisecond

type storeRecord struct {
	key   string
	value []byte
}

type storeTopic struct {
	records []storeRecord
	changed chan struct{}
}

// store is a stand-in of the platform's metadata store: its keyed topics, read with log-newest and log-read.
// Servers write their entries with PUT /servers/ID, a path of this stand-in.
type store struct {
	mu     sync.Mutex
	topics map[string]*storeTopic
	seen   map[string]time.Time
}

func newStore() *store {
	s := &store{topics: make(map[string]*storeTopic), seen: make(map[string]time.Time)}

	go s.expireLoop()

	return s
}

func (s *store) topic(name string) *storeTopic {
	t, ok := s.topics[name]
	if !ok {
		t = &storeTopic{changed: make(chan struct{})}
		s.topics[name] = t
	}

	return t
}

// put appends a record; an empty value deletes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.append(topic, storeRecord{key, value})
}

// append requires mu.
func (s *store) append(topic string, r storeRecord) {
	t := s.topic(topic)
	t.records = append(t.records, r)
	close(t.changed)
	t.changed = make(chan struct{})
}

// expireLoop removes the entries of servers that have been silent for three heartbeats.
func (s *store) expireLoop() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.seen {
			if time.Since(at) >= expiry {
				delete(s.seen, id)
				s.append("keyed.servers", storeRecord{key: id})
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()

	switch {
	case r.URL.Path == "/auburntray/log-newest":
		s.newest(w, q.Get("topic"))
	case r.URL.Path == "/auburntray/log-read":
		s.read(w, r)
	case r.URL.Path == "/auburntray/log-append":
		s.appendRaw(w, r)
	case r.Method == http.MethodPut && len(r.URL.Path) > len("/servers/"):
		id := r.URL.Path[len("/servers/"):]
		b, _ := io.ReadAll(r.Body)

		s.mu.Lock()
		s.seen[id] = time.Now()
		s.append("keyed.servers", storeRecord{id, b})
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}

	s.mu.Lock()
	t := s.topic(topic)
	last := make(map[string]int)

	for i, r := range t.records {
		last[r.key] = i
	}

	items := []item{}

	for k, i := range last {
		if v := t.records[i].value; len(v) > 0 {
			items = append(items, item{k, v, i})
		}
	}

	end := len(t.records)
	s.mu.Unlock()

	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.After(time.Duration(wait) * time.Millisecond)

	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		l, changed := t.records, t.changed
		s.mu.Unlock()

		if from > len(l) {
			w.WriteHeader(http.StatusGone)

			return
		}

		if from < len(l) {
			_, _ = w.Write(encodeRecords(l[from:], len(l)))

			return
		}

		select {
		case <-changed:
		case <-timer:
			_, _ = w.Write(encodeRecords(nil, len(l)))

			return
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(l []storeRecord, end int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, 0)

	for _, r := range l {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.key)+len(r.value)))
		b = append(b, byte(len(r.key)))
		b = append(b, r.key...)
		b = append(b, r.value...)
	}

	return b
}

// appendRaw stores the records that the system appends to topics of its own.
func (s *store) appendRaw(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	topic := r.URL.Query().Get("topic")
	first := len(s.topic(topic).records)

	for len(b) >= 5 {
		n, k := int(binary.BigEndian.Uint32(b)), int(b[4])
		s.append(topic, storeRecord{string(b[5 : 5+k]), b[5+k : 4+n]})
		b = b[4+n:]
	}

	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": len(s.topic(topic).records)})
}
