package deployment

import (
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/standin/engine"
	"github.com/dandelionvane/dandelionvane/internal/standin/service"
)

func flagArg(name string, value any) string { return fmt.Sprintf("-%s=%v", name, value) }

func engineArgs(c engine.Config) []string {
	return []string{
		"engine", flagArg("id", c.ID), flagArg("model", c.Model), flagArg("capacity", c.Capacity), flagArg("queue", c.QueueLimit),
		flagArg("token-interval", c.TokenInterval), flagArg("slowdown", c.Slowdown),
		flagArg("cache-blocks", c.CacheBlocks), flagArg("load-lag", c.LoadReportDelay), flagArg("event-lag", c.CacheEventDelay),
		flagArg("event-gap", c.DropEveryNthEvent), flagArg("grace", c.ReaderGracePeriod), flagArg("cold-capacity", c.ColdCapacity),
		flagArg("cold-time", c.ColdStartDuration), flagArg("checks-fence", c.ChecksFence),
	}
}

func serviceArgs(c service.Config) []string {
	return []string{"service", flagArg("id", c.ID), flagArg("capacity", c.Capacity), flagArg("delay", c.Delay)}
}
