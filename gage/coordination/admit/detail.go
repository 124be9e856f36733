package admit

import "github.com/greengagewind/greengagewind/gage"

// refusalDetails holds the human-readable explanation of each refusal reason.
var refusalDetails = map[gage.Reason]string{
	gage.ReasonNoTarget:       "The node on the target's VM does not know the target.",
	gage.ReasonOverload:       "The target is overloaded and the call was shed.",
	gage.ReasonNestedOverload: "The nested calls that the target would make for the call are being refused.",
	gage.ReasonQueueFull:      "The queue of the target is full.",
	gage.ReasonColdStart:      "The target is in a cold start and accepts few calls.",
	gage.ReasonDeadline:       "The call cannot be answered before its deadline.",
	gage.ReasonStaleDecision:  "The decisions taken for the call are too old to act on.",
	gage.ReasonDraining:       "The target is draining and accepts no new calls.",
	gage.ReasonCanceled:       "The caller canceled the call.",
}
