package gage

// Importance is the priority of a route. Under overload, requests of a lower
// importance are shed first.
type Importance string

// The importances, highest first.
const (
	ImportanceCritical Importance = "Critical"
	ImportanceHigh     Importance = "High"
	ImportanceNormal   Importance = "Normal"
	ImportanceLow      Importance = "Low"
)

// Importances lists every importance, highest first.
var Importances = []Importance{
	ImportanceCritical,
	ImportanceHigh,
	ImportanceNormal,
	ImportanceLow,
}

// Rank returns the index of i in Importances: 0 for the highest importance, or
// len(Importances) for an unknown one.
func (i Importance) Rank() int {
	for rank, known := range Importances {
		if known == i {
			return rank
		}
	}
	return len(Importances)
}

// Outcome says whether a request was executed, as far as is known.
type Outcome string

// The outcomes.
const (
	// OutcomeRan means that the target ran the request and its complete
	// answer was received.
	OutcomeRan Outcome = "Ran"
	// OutcomeNotRun means that no target has run the request or will run it.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "Unknown"
)

// Reason is the machine-readable cause of a refusal or failure. Its values are
// part of the API that callers and operators see.
type Reason string

// The reasons.
const (
	ReasonNone Reason = ""
	// The request has no API key.
	ReasonNoKey Reason = "NoKey"
	// The API key belongs to no workspace.
	ReasonUnknownKey Reason = "UnknownKey"
	// No route matches the request.
	ReasonNoRoute Reason = "NoRoute"
	// The route's configuration has a value that this version does not support.
	ReasonRouteRefused Reason = "RouteRefused"
	ReasonBadRequest   Reason = "BadRequest"
	ReasonTooLarge     Reason = "TooLarge"
	// The workspace's token bucket is empty.
	ReasonOverRate Reason = "OverRate"
	// No holder of the workspace's quota answered.
	ReasonQuotaUnavailable Reason = "QuotaUnavailable"
	// No target is available.
	ReasonNoTarget Reason = "NoTarget"
	// The call was shed because the target is overloaded.
	ReasonOverload Reason = "Overload"
	// The target's admission queue is full.
	ReasonQueueFull Reason = "QueueFull"
	// The nested calls that the target would make are being refused for
	// overload.
	ReasonNestedOverload Reason = "NestedOverload"
	// The target's cold start limits its load.
	ReasonColdStart Reason = "ColdStart"
	// The target is draining.
	ReasonDraining Reason = "Draining"
	// The request's deadline passed or could not be met.
	ReasonDeadline Reason = "Deadline"
	// The caller canceled the request.
	ReasonCanceled Reason = "Canceled"
	// Call.AdmitBy passed before the call ran.
	ReasonStaleDecision Reason = "StaleDecision"
	// The node has no configuration, or its configuration may be out of date.
	ReasonNoConfig     Reason = "NoConfig"
	ReasonTargetFailed Reason = "TargetFailed"
	// Forwarding the call to another node failed.
	ReasonPeerFailed Reason = "PeerFailed"
	// An earlier call with the idempotency key ran.
	ReasonDuplicate Reason = "Duplicate"
	// An earlier call with the idempotency key is running or may have run.
	ReasonDuplicateUnknown Reason = "DuplicateUnknown"
	// The context token of a nested call belongs to no call in flight.
	ReasonBadToken Reason = "BadToken"
	// The nested call is not idempotent, and an attempt whose outcome is
	// unknown may already have made it.
	ReasonRetryNotRepeating Reason = "RetryNotRepeating"
	// The node is shutting down.
	ReasonStopping Reason = "Stopping"
	// The node has not confirmed its configuration recently enough to accept
	// API keys.
	ReasonNotConfirmed Reason = "NotConfirmed"
	// The node is not sure which target runs on its VM.
	ReasonTargetSuspect Reason = "TargetSuspect"
	// The VM's target is not the one that the call was sent to.
	ReasonOtherTarget Reason = "OtherTarget"
	// The target's zone is out of service.
	ReasonZoneClosed Reason = "ZoneClosed"
	// The connection to the target failed before the request was sent.
	ReasonUnreached Reason = "Unreached"
	// The connection to the target failed after the request may have been
	// sent.
	ReasonBroken Reason = "Broken"
	// The target's answer has no signature.
	ReasonSpoiled Reason = "Spoiled"
	// The request was refused at its entry because services further down the
	// call chain are overloaded.
	ReasonThrottled Reason = "Throttled"
)

// TargetPhase is the phase of a target as the node on its VM reports it.
type TargetPhase string

// The target phases.
const (
	TargetServing TargetPhase = "Serving"
	// TargetDraining means that the target finishes its calls in flight and
	// accepts no new ones.
	TargetDraining TargetPhase = "Draining"
	// TargetGone means that the target has left, or that its announcement
	// expired.
	TargetGone TargetPhase = "Gone"
)

// MemberPhase is the state of a node in the failure detector.
type MemberPhase string

// The member phases.
const (
	MemberAlive   MemberPhase = "Alive"
	MemberSuspect MemberPhase = "Suspect"
	MemberDead    MemberPhase = "Dead"
	MemberLeft    MemberPhase = "Left"
)
