package main

import (
	"fmt"
	"slices"

	"chalkstand/dispatch"
	"chalkstand/internal/simwire"
)

// host holds the running dispatcher instances by their name.
type host struct{ instances map[string]*instance }

// instance is a running dispatcher with its configuration.
type instance struct {
	dispatcher *dispatch.Dispatcher
	cfg        dispatch.Config
}

// reply holds the actions that an instance returned for one event.
type reply struct {
	instance string
	actions  []dispatch.Action
}

// handleBatch passes each item of a batch to its instance. If an item fails, handleBatch
// returns no replies, so that the error is the only reply to the batch.
func (h *host) handleBatch(batch simwire.Batch) ([]reply, error) {
	var replies []reply
	for _, item := range batch.Items {
		var err error
		switch item.Kind {
		case simwire.InstanceStarted:
			err = h.start(item)
		case simwire.InstanceCrashed:
			err = h.crash(item)
			// A crash discards the actions that the instance returned earlier in the batch.
			replies = slices.DeleteFunc(replies, func(r reply) bool { return r.instance == item.Instance })
		case simwire.EventReceived:
			var actions []dispatch.Action
			actions, err = h.handleEvent(batch, item)
			if len(actions) > 0 {
				replies = append(replies, reply{item.Instance, actions})
			}
		}
		if err != nil {
			return nil, &simwire.ProtocolError{Line: item.Line, Instance: item.Instance, Err: err}
		}
	}
	return replies, nil
}

// start handles the start of an instance. It returns an error if the instance is already
// running or its configuration is invalid.
func (h *host) start(item simwire.Item) error {
	if h.instances[item.Instance] != nil {
		return fmt.Errorf("BEGIN for %s, which is running", item.Instance)
	}
	d, err := dispatch.New(item.Config, item.Seed)
	if err != nil {
		return fmt.Errorf("BEGIN: %w", err)
	}
	h.instances[item.Instance] = &instance{dispatcher: d, cfg: item.Config}
	return nil
}

// running returns the instance that an item belongs to. It returns an error if the instance
// is not running.
func (h *host) running(item simwire.Item) (*instance, error) {
	in := h.instances[item.Instance]
	if in == nil {
		return nil, fmt.Errorf("event for %s, which is not running", item.Instance)
	}
	return in, nil
}

// crash removes an instance that crashes. It returns an error if the instance is not running.
func (h *host) crash(item simwire.Item) error {
	if _, err := h.running(item); err != nil {
		return err
	}
	delete(h.instances, item.Instance)
	return nil
}

// handleEvent passes the event of an item to its instance and returns the actions.
func (h *host) handleEvent(batch simwire.Batch, item simwire.Item) ([]dispatch.Action, error) {
	in, err := h.running(item)
	if err != nil || item.Event == nil {
		return nil, err
	}
	if request, ok := item.Event.(dispatch.Request); ok {
		if err := in.checkRequest(request); err != nil {
			return nil, err
		}
	}
	return in.dispatcher.Handle(batch.Now, item.Event), nil
}

// checkRequest returns an error if the class or the plan of a request does not exist in the
// configuration of the instance.
func (in *instance) checkRequest(r dispatch.Request) error {
	if r.Class < 0 || r.Class >= len(in.cfg.Classes) {
		return fmt.Errorf("ASK: tier_class %d: expected 0 to %d", r.Class, len(in.cfg.Classes)-1)
	}
	if r.Plan < 0 || r.Plan >= len(in.cfg.Plans) {
		return fmt.Errorf("ASK: plan %d: expected 0 to %d", r.Plan, len(in.cfg.Plans)-1)
	}
	return nil
}
