package trace

import (
	"strings"
	"testing"
)

// contentionLog has refusals under contention of two services, one of which is no longer contended.
const contentionLog = `I0824 04:50:09.228413   23252 gateway.go:88] "process_started" event=101 instance="a-1" data_centre="a"
W0824 04:50:10.000000   23252 gateway.go:145] "contention_changed" event=521 service="other" contended=true utilization=9.5 target=1.1 demand=2 hold_ms=20 queue_limit=0
W0824 04:50:10.500000   23252 gateway.go:145] "contention_changed" event=521 service="llm" contended=true utilization=1.6 target=1.2 demand=2 hold_ms=900 queue_limit=0
I0824 04:50:11.000000   23252 refusal.go:36] "request_refused" event=501 request="r-share" reason="contention" retry_after_ms=800 sends=0 elapsed_ms=0 revision=15 age_ms=52 contention="share" service="llm" route="chat" workspace="w" urgency=4
W0824 04:50:12.000000   23252 gateway.go:145] "contention_changed" event=521 service="llm" contended=false utilization=0.6 target=1.2 demand=0 hold_ms=900 queue_limit=0
I0824 04:50:12.100000   23252 refusal.go:36] "request_refused" event=501 request="r-late" reason="contention" retry_after_ms=900 sends=0 elapsed_ms=0 revision=15 age_ms=52 contention="deadline" service="llm" route="chat" workspace="w" urgency=4
`

// TestCausesUnderContention guards against causes that name another service's contention, or one that was over.
func TestCausesUnderContention(t *testing.T) {
	lines, err := Parse(strings.NewReader(contentionLog), "a.log")
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range map[string]string{
		"r-share": "refused under contention (share), workspace w, route chat, priority 4: its workspace had more requests than its share; service llm had been contended since (utilization 1.6, target 1.2); it did not run, and the caller was told to retry after 800 ms",
		"r-late":  "refused under contention (deadline), workspace w, route chat, priority 4: it would have started after its deadline, or after its caller's patience; it did not run, and the caller was told to retry after 900 ms",
	} {
		tr, err := Reconstruct(lines, id)
		if err != nil {
			t.Errorf("%s: %v", id, err)
			continue
		}
		if tr.Cause != want {
			t.Errorf("%s: %s", id, tr.Cause)
		}
	}
}
