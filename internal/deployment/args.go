package deployment

import (
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/standin/engine"
	"github.com/dandelionvane/dandelionvane/internal/standin/service"
)

func arg(name string, value any) string { return fmt.Sprintf("-%s=%v", name, value) }

func engineArgs(c engine.Config) []string {
	return []string{
		"engine", arg("id", c.ID), arg("model", c.Model), arg("capacity", c.Capacity), arg("queue", c.QueueLimit),
		arg("token-interval", c.TokenInterval), arg("slowdown", c.Slowdown),
		arg("cache-blocks", c.CacheBlocks), arg("load-lag", c.LoadReportDelay), arg("event-lag", c.CacheEventDelay),
		arg("event-gap", c.DropEveryNthEvent), arg("grace", c.ReaderGracePeriod), arg("cold-capacity", c.ColdCapacity),
		arg("cold-time", c.ColdStartDuration), arg("checks-fence", c.ChecksFence),
	}
}

func serviceArgs(c service.Config) []string {
	return []string{"service", arg("id", c.ID), arg("capacity", c.Capacity), arg("delay", c.Delay)}
}
