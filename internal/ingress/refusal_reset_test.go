package ingress

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// TestRefusalIsNotFollowedByAReset guards against an answer that a reset may destroy: the caller still sends its body.
func TestRefusalIsNotFollowedByAReset(t *testing.T) {
	ts := startTestServer(t, answerGood)
	c := ts.dial()
	c.send(t, rawHead("nowhere", 500)+"part")
	time.Sleep(unreadBodyTimeout + 100*time.Millisecond)
	for range 2 {
		if _, err := io.WriteString(c, "more of the body"); err != nil {
			t.Errorf("write: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	status, _, err := c.answer()
	t.Logf("status %d, %v", status, err)
	if status != http.StatusNotFound {
		t.Errorf("status %d, %v", status, err)
	}
}
