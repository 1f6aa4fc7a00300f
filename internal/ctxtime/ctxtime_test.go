package ctxtime

import (
	"context"
	"testing"
	"time"
)

func TestSleep(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !Sleep(ctx, time.Millisecond) {
		t.Error("Sleep returned false before the context ended")
	}
	cancel()
	if Sleep(ctx, time.Hour) {
		t.Error("Sleep returned true after the context ended")
	}
}
