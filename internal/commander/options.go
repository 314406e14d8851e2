package commander

import "github.com/auburntray/auburntray/internal/forwarder"

// options are what a program that embeds the command may change.
type options struct {
	// targetDialer connects gateways to targets; nil means a net.Dialer.
	targetDialer forwarder.Dialer
}

// Option changes the command that New returns.
type Option func(o *options)

// WithTargetDialer makes gateways connect to targets with the given dialer.
func WithTargetDialer(d forwarder.Dialer) Option {
	return func(o *options) { o.targetDialer = d }
}

func newOptions(l []Option) options {
	var o options
	for _, x := range l {
		x(&o)
	}

	return o
}
