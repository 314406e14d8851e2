package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/auburntray/auburntray/internal/hasher"
)

const defaultTokens = 32

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// Answer returns the tokens that the engine generates for the last message of a chat.
// Callers use it to check that an answer is complete and matches their request.
func Answer(last string, tokens int) []string {
	o := make([]string, tokens)
	k := strconv.FormatUint(hasher.Key(last), 36)

	for i := range o {
		o[i] = fmt.Sprintf("%s-%d ", k, i)
	}

	return o
}

func (e *Engine) complete(c *gin.Context) {
	var q completion

	if err := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxBody)).Decode(&q); err != nil {
		c.AbortWithStatusJSON(http.StatusBadRequest, gin.H{"error": err.Error()})

		return
	}

	if len(q.Messages) == 0 || len(q.Messages) > maxMessages {
		c.AbortWithStatusJSON(http.StatusBadRequest, gin.H{"error": "messages: must be 1 to 4096"})

		return
	}

	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()

	if f.Fail {
		c.AbortWithStatusJSON(http.StatusInternalServerError, gin.H{"error": "told to fail"})

		return
	}

	n := c.GetHeader(headerRequestID)
	if n == "" {
		n = uuid.NewString()
	}

	s := e.start(n, q, c.GetHeader(headerPriority))
	e.send(c, n, s, 0, q.Stream, f)
}

// start starts to generate an answer. Generation doesn't depend on the connection, so a
// caller whose connection broke can resume the stream.
func (e *Engine) start(id string, q completion, priority string) *stream {
	x, cancel := context.WithCancel(context.Background())
	s := newStream(cancel)

	e.mu.Lock()
	e.streams[id] = s
	e.mu.Unlock()

	p, _ := strconv.Atoi(priority)

	e.group.Add(1)

	go func() {
		defer e.group.Done()
		defer cancel()

		s.finish(e.generate(x, s, q, p) != nil)
		time.AfterFunc(streamRetention, func() { e.removeStream(id) })
	}()

	return s
}

func (e *Engine) removeStream(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()

	delete(e.streams, id)
}

func (e *Engine) generate(c context.Context, s *stream, q completion, priority int) error {
	if err := e.batch.acquire(c, priority); err != nil {
		return err
	}

	defer e.batch.release()

	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}

	n := b.Len() / bytesPerToken
	h := e.cache.lookup([]byte(b.String()))
	s.setUsage(n, h)

	if e.settings.PrefillTokensPerSecond > 0 {
		d := time.Duration(float64(n-h) / e.settings.PrefillTokensPerSecond * float64(time.Second))
		if err := sleep(c, d); err != nil {
			return err
		}
	}

	t := q.MaxTokens
	if t <= 0 {
		t = defaultTokens
	}

	for _, w := range Answer(q.Messages[len(q.Messages)-1].Content, t) {
		if err := sleep(c, e.settings.TokenInterval); err != nil {
			return err
		}

		s.add(w)
	}

	return nil
}

func (e *Engine) resume(c *gin.Context) {
	e.mu.Lock()
	s, ok := e.streams[c.Param("id")]
	f := e.faults
	e.mu.Unlock()

	if !ok || f.LoseStreams {
		c.AbortWithStatusJSON(http.StatusNotFound, gin.H{"error": "no such stream"})

		return
	}

	o, err := strconv.Atoi(c.DefaultQuery("offset", "0"))
	if err != nil || o < 0 {
		c.AbortWithStatusJSON(http.StatusBadRequest, gin.H{"error": "offset: must be a number of tokens"})

		return
	}

	e.send(c, c.Param("id"), s, o, true, Faults{})
}

func (e *Engine) cancel(c *gin.Context) {
	e.mu.Lock()
	s, ok := e.streams[c.Param("id")]
	e.mu.Unlock()

	if !ok {
		c.AbortWithStatusJSON(http.StatusNotFound, gin.H{"error": "no such stream"})

		return
	}

	e.canceled.Add(1)
	s.cancel()
	c.Status(http.StatusNoContent)
}

// send writes an answer starting at an offset, as events or as one document.
func (e *Engine) send(c *gin.Context, id string, s *stream, offset int, stream bool, f Faults) {
	if !stream {
		e.sendDocument(c, id, s)

		return
	}

	c.Header("Content-Type", "text/event-stream")
	c.Header(headerRequestID, id)
	c.Status(http.StatusOK)

	n := 0

	for {
		l, done, err := s.next(c.Request.Context(), offset)
		if err != nil {
			panic(http.ErrAbortHandler)
		}

		for _, w := range l {
			if f.BreakAfter > 0 && n >= f.BreakAfter {
				panic(http.ErrAbortHandler)
			}

			writeEvent(c.Writer, chunk(id, w, nil))

			n++
			offset++
		}

		if done {
			z := "stop"
			writeEvent(c.Writer, chunk(id, "", &z))
			writeEvent(c.Writer, gin.H{"id": id, "object": "chat.completion.chunk", "choices": []any{}, "usage": usage(s)})
			_, _ = io.WriteString(c.Writer, "data: [DONE]\n\n")
			c.Writer.Flush()

			return
		}

		c.Writer.Flush()
	}
}

func (e *Engine) sendDocument(c *gin.Context, id string, s *stream) {
	var b strings.Builder

	n := 0

	for {
		l, done, err := s.next(c.Request.Context(), n)
		if err != nil {
			panic(http.ErrAbortHandler)
		}

		for _, w := range l {
			b.WriteString(w)
		}

		n += len(l)

		if done {
			break
		}
	}

	c.JSON(http.StatusOK, gin.H{
		"id": id, "object": "chat.completion", "usage": usage(s),
		"choices": []gin.H{{"index": 0, "finish_reason": "stop", "message": message{Role: "assistant", Content: b.String()}}},
	})
}

func chunk(id, content string, finish *string) gin.H {
	return gin.H{
		"id": id, "object": "chat.completion.chunk",
		"choices": []gin.H{{"index": 0, "delta": gin.H{"content": content}, "finish_reason": finish}},
	}
}

func usage(s *stream) gin.H {
	s.mu.Lock()
	defer s.mu.Unlock()

	return gin.H{
		"prompt_tokens": s.promptTokens, "completion_tokens": len(s.tokens),
		"prompt_tokens_details": gin.H{"cached_tokens": s.cachedTokens},
	}
}

func writeEvent(w io.Writer, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}

	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
}

func sleep(c context.Context, d time.Duration) error {
	if d <= 0 {
		return c.Err()
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
		return nil
	case <-c.Done():
		return c.Err()
	}
}
