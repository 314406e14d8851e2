package filterer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/auburntray/auburntray/internal/exchanger"
	"github.com/auburntray/auburntray/internal/hasher"
	"github.com/auburntray/auburntray/internal/matcher"
)

const (
	completionsPath = "/v1/chat/completions"
	bytesPerToken   = 4
	maxName         = 256
)

// Identify finds out who calls, which chat it is, and how long it may take.
type Identify struct {
	Deadline    time.Duration
	MaxDeadline time.Duration
}

// Name returns the name of the step.
func (Identify) Name() string { return "identify" }

// Apply reads the headers and, for a chat completion, the body.
func (i Identify) Apply(_ context.Context, x *exchanger.Exchange) error {
	h := x.Request.Header
	x.Customer = h.Get(exchanger.HeaderCustomer)
	x.Key = h.Get(exchanger.HeaderKey)

	if x.Customer == "" || len(x.Customer) > maxName {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeNoCustomer, 0,
			"%s: must be 1 to %d bytes", exchanger.HeaderCustomer, maxName)
	}

	if len(x.Key) > maxName || len(h.Get(exchanger.HeaderChat)) > maxName {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, 0,
			"%s and %s: must be at most %d bytes", exchanger.HeaderKey, exchanger.HeaderChat, maxName)
	}

	if err := i.deadline(x); err != nil {
		return err
	}

	x.Traffic = matcher.Traffic{Path: x.Request.URL.Path, Method: x.Request.Method, Customer: x.Customer}

	if x.Request.Method == http.MethodPost && x.Request.URL.Path == completionsPath {
		return completion(x)
	}

	return nil
}

func (i Identify) deadline(x *exchanger.Exchange) error {
	x.Deadline = x.Start.Add(i.Deadline)

	v := x.Request.Header.Get(exchanger.HeaderDeadline)
	if v == "" {
		return nil
	}

	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > i.MaxDeadline {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, 0,
			"%s is %q but must be a duration up to %s", exchanger.HeaderDeadline, v, i.MaxDeadline)
	}

	x.Deadline = x.Start.Add(d)

	return nil
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// completion reads what routing needs of a chat completion.
func completion(x *exchanger.Exchange) error {
	var b struct {
		Model    string    `json:"model"`
		Messages []message `json:"messages"`
		Stream   bool      `json:"stream"`
	}

	if err := json.Unmarshal(x.Body, &b); err != nil {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, 0, "the body is no chat completion: %v", err)
	}

	if len(b.Messages) == 0 {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, 0, "messages: must not be empty")
	}

	x.Assistant = true
	x.Stream = b.Stream
	x.Traffic.Model = b.Model
	x.Prompt = len(x.Body) / bytesPerToken
	x.Chat = chat(x, b.Model, b.Messages)
	x.Hint = hint(x.Request.Header.Get(exchanger.HeaderPlace))

	return nil
}

// chat returns the chat's key: by its header, or by the beginning of the
// prompt up to the first message of the user, which stays when a chat returns.
func chat(x *exchanger.Exchange, model string, m []message) uint64 {
	if n := x.Request.Header.Get(exchanger.HeaderChat); n != "" {
		return hasher.Key(x.Customer, model, n)
	}

	p := []string{x.Customer, model}

	for _, y := range m {
		p = append(p, y.Role, string(y.Content))

		if y.Role == "user" {
			break
		}
	}

	return hasher.Key(p...)
}

const (
	hintBase = 36
	hintBits = 32
)

// hint reads the token that a caller returned; one that can't be read is none.
func hint(v string) uint32 {
	n, err := strconv.ParseUint(v, hintBase, hintBits)
	if err != nil {
		return 0
	}

	return uint32(n)
}

// token returns the text that a caller returns with the chat's next message.
func token(target uint32) string {
	return strconv.FormatUint(uint64(target), hintBase)
}
