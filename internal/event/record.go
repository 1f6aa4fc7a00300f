package event

import "k8s.io/klog/v2"

// LogFields writes one event with its fields, which alternate between names and values. Lines
// of one kind above its rate limit are dropped; the next line of the kind reports their number.
func LogFields(n Number, fields ...any) {
	d, suppressed, ok := admit(n)
	if !ok {
		return
	}
	all := make([]any, 0, len(fields)+4)
	all = append(all, "event", d.Number)
	all = append(all, fields...)
	if suppressed > 0 {
		all = append(all, "suppressed", suppressed)
	}
	if d.Severity == Error {
		klog.ErrorSDepth(callerDepth, nil, d.Name, all...)
		return
	}
	klog.InfoSDepth(callerDepth, d.Name, all...)
}
