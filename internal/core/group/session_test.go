package group

import "github.com/rhubarbswitch/rhubarbswitch/internal/core/step"

func (n *node) note(step.Effect) {}
