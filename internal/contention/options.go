package contention

import "time"

// Options are the constants of a Controller.
type Options struct {
	// Control loop.

	MaxUtilization float64       // a higher value cannot come from bounded endpoint queues and counts as missing
	UpdateTimeout  time.Duration // without an Update for this long the utilization counts as missing
	UnknownHold    time.Duration // stands for the service time in the loop's model while it is unknown
	MinHold        time.Duration // lower bound of the service time
	MaxHold        time.Duration // upper bound of the service time
	MinDelay       time.Duration // lower bound of the age of a utilization
	MaxDelay       time.Duration // upper bound of the age of a utilization
	UsualDelay     time.Duration // usual age of a utilization
	MinSlope       time.Duration // shortest interval over which the change of the utilization is measured
	MaxSlope       time.Duration // longest such interval
	DrainTime      time.Duration // in which the proportional term removes an excess wait; about three times the usual delay, for stability
	MaxRaise       float64       // limit of the proportional term while the utilization is below its target
	DemandTime     time.Duration // time constant with which the estimated demand follows its bounds
	Significant    float64       // standard deviations of the inflow that are followed in DemandTime
	MinFollow      float64       // rate at which small deviations are followed, relative to DemandTime
	IntegralRate   float64       // 1/s: growth of the estimated demand while the utilization stays at twice its target
	LeakRate       float64       // 1/s: return of the estimated demand to 1, by which gateways of different history agree again
	MaxDemand      float64       // upper bound of the estimated demand, in multiples of the capacity
	MinShare       float64       // admitted share of every priority: no priority starves
	EndAfter       time.Duration // contention ends when the admitted share has been 1 for this long

	// Order.

	Window            time.Duration // age of the gateway's requests that a request is ranked among
	MinSample         int           // of requests; missing ones count as equals of the request
	FullSample        int           // a smaller sample keeps requests that are older than Window
	MaxSampleAge      time.Duration // age up to which it keeps them
	TimeStep          time.Duration // resolution of the order by time left
	ReturningBelow    float64       // of the usual time limit: a caller with less time left has returned
	ReturningFraction float64       // of what is admitted at a priority: limit of the precedence of returning callers
	ShareMargin       float64       // of what is admitted at a priority: not counted in the shares, so that the variation of a sample does not reach workspaces below their share
	MinLimit          float64       // of requests of the sample: fewer do not show that a workspace is above its share
	WorkspacesTTL     time.Duration // age up to which the workspaces' loads are used
	MaxWeight         float64       // limit of the correction of a small sample by the fleet's loads
	LoadAge           time.Duration // usual age of the workspaces' loads
	MaxWorkspaces     int           // workspaces whose loads are used, the largest first

	// Order of the queues.

	QueueMargin     float64       // above a utilization of 1: a mean load of 1 has short queues at single endpoints
	QueueEndAfter   time.Duration // queueing ends when the utilization has been below the margin for this long
	QueueDemandTime time.Duration // time constant of the demand that the shares follow
	UsualTime       time.Duration // time constant of the workspaces' usual rates, without the time of queueing
	MinUsualTime    time.Duration // a shorter observation of a workspace does not show its usual rate
	UsualMargin     float64       // of its usual rate: up to this multiple a workspace is within its share, so that random variation is not marked

	// Rejections.

	MinPatience    time.Duration // callers wait at least this long for the first event
	PatiencePer    int           // and this many latency goals
	PatiencePause  int           // and this many goals for pauses
	MinRetryAfter  time.Duration // lower bound, unless the time left demands less
	MaxRetryAfter  time.Duration // upper bound
	RetryTimeShare float64       // of the time left: the most that a caller waits before it returns
}

// DefaultOptions returns the options for production gateways.
func DefaultOptions() Options {
	return Options{
		MaxUtilization: 100,
		UpdateTimeout:  time.Second,
		UnknownHold:    500 * time.Millisecond,
		MinHold:        time.Millisecond,
		MaxHold:        time.Minute,
		MinDelay:       50 * time.Millisecond,
		MaxDelay:       550 * time.Millisecond,
		UsualDelay:     300 * time.Millisecond,
		MinSlope:       200 * time.Millisecond,
		MaxSlope:       400 * time.Millisecond,
		DrainTime:      time.Second,
		MaxRaise:       0.15,
		DemandTime:     100 * time.Millisecond,
		Significant:    2,
		MinFollow:      0.2,
		IntegralRate:   1.2,
		LeakRate:       0.6,
		MaxDemand:      50,
		MinShare:       0.05,
		EndAfter:       time.Second,

		Window:            2 * time.Second,
		MinSample:         20,
		FullSample:        40,
		MaxSampleAge:      5 * time.Second,
		TimeStep:          100 * time.Millisecond,
		ReturningBelow:    0.75,
		ReturningFraction: 0.25,
		ShareMargin:       0.2,
		MinLimit:          2,
		WorkspacesTTL:     2 * time.Second,
		MaxWeight:         4,
		LoadAge:           300 * time.Millisecond,
		MaxWorkspaces:     16,

		QueueMargin:     0.1,
		QueueEndAfter:   time.Second,
		QueueDemandTime: 500 * time.Millisecond,
		UsualTime:       3 * time.Minute,
		MinUsualTime:    10 * time.Second,
		UsualMargin:     1.25,

		MinPatience:    2 * time.Second,
		PatiencePer:    4,
		PatiencePause:  8,
		MinRetryAfter:  300 * time.Millisecond,
		MaxRetryAfter:  5 * time.Second,
		RetryTimeShare: 1.0 / 3,
	}
}

// Patience returns how long a caller waits for the first event, given the latency goal and the goal for pauses of its route.
func (o *Options) Patience(goal, pauseGoal time.Duration) time.Duration {
	return max(o.MinPatience, time.Duration(o.PatiencePer)*goal, time.Duration(o.PatiencePause)*pauseGoal)
}
