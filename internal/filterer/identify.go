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
	// bytesPerToken is the average length of a token, used to estimate how many tokens a
	// prompt has.
	bytesPerToken = 4
	// maxNameBytes is the largest length of a customer, an idempotency key or the name of a
	// chat in a header.
	maxNameBytes = 256
)

// Identify determines the customer, the idempotency key, the deadline and the chat of a
// call.
type Identify struct {
	// Deadline is the time allowed for a call that requests no deadline.
	Deadline time.Duration
	// MaxDeadline is the longest time that a call may request.
	MaxDeadline time.Duration
}

// Name implements exchanger.Filter.
func (Identify) Name() string { return "identify" }

// Apply reads the headers and, for a chat completion, the body. It fails with a Refusal
// if one of them is invalid.
func (i Identify) Apply(_ context.Context, x *exchanger.Exchange) error {
	h := x.Request.Header
	x.Customer = h.Get(exchanger.HeaderCustomer)
	x.Key = h.Get(exchanger.HeaderKey)

	if x.Customer == "" || len(x.Customer) > maxNameBytes {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeNoCustomer, 0,
			"%s: must be 1 to %d bytes", exchanger.HeaderCustomer, maxNameBytes)
	}

	if len(x.Key) > maxNameBytes || len(h.Get(exchanger.HeaderChat)) > maxNameBytes {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, 0,
			"%s and %s: must be at most %d bytes", exchanger.HeaderKey, exchanger.HeaderChat, maxNameBytes)
	}

	if err := i.setDeadline(x); err != nil {
		return err
	}

	x.Traffic = matcher.Traffic{Path: x.Request.URL.Path, Method: x.Request.Method, Customer: x.Customer}

	if x.Request.Method == http.MethodPost && x.Request.URL.Path == completionsPath {
		return parseCompletion(x)
	}

	return nil
}

// setDeadline sets the deadline of the call from its header, or the default.
func (i Identify) setDeadline(x *exchanger.Exchange) error {
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

// parseCompletion reads the fields of a chat completion that routing needs.
func parseCompletion(x *exchanger.Exchange) error {
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

	x.ChatCompletion = true
	x.Stream = b.Stream
	x.Traffic.Model = b.Model
	x.PromptTokens = len(x.Body) / bytesPerToken
	x.Chat = chatKey(x, b.Model, b.Messages)
	x.Hint = parsePlacementToken(x.Request.Header.Get(exchanger.HeaderPlacement))

	return nil
}

// chatKey returns the hash that identifies the chat. It is computed from the chat header
// or, without one, from the messages up to the first one of the user, which all calls of
// a chat have in common.
func chatKey(x *exchanger.Exchange, model string, m []message) uint64 {
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

// Format of a placement token: the target's ID as a number in base 36.
const (
	tokenBase = 36
	tokenBits = 32
)

// parsePlacementToken returns the ID of the target in a placement token that a caller
// sent, or zero if the token is missing or invalid.
func parsePlacementToken(v string) uint32 {
	n, err := strconv.ParseUint(v, tokenBase, tokenBits)
	if err != nil {
		return 0
	}

	return uint32(n)
}

// placementToken returns the token that a caller sends with the next call of a chat, so
// that the call goes to the same target.
func placementToken(target uint32) string {
	return strconv.FormatUint(uint64(target), tokenBase)
}
