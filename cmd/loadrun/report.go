package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/dandelionvane/dandelionvane/internal/deployment"
)

// resourceUsage is the resource usage of a router: rates per second, except for residentBytes.
type resourceUsage struct {
	requests, leaseRequests  float64
	bytesSent, bytesReceived float64 // UDP payload
	packetsSent, framesSent  float64
	cpuCores                 float64 // CPU seconds per second
	residentBytes            float64
}

// printUsage prints the resource usage of each router between two readings, the mean and the highest values.
func printUsage(d *deployment.Deployment, before, after []reading) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "router\trequests/s\tlease asks/s\tB/s sent\tB/s received\tpackets/s\tframes/s\tcore %\tMiB\t")
	var sum, highest resourceUsage
	for i, r := range d.Routers() {
		usage := usageBetween(before[i], after[i])
		printRow(w, string(r.ID), usage)
		sum = combine(sum, usage, func(a, b float64) float64 { return a + b })
		highest = combine(highest, usage, func(a, b float64) float64 { return max(a, b) })
	}
	n := float64(len(after))
	printRow(w, "mean", combine(sum, sum, func(a, _ float64) float64 { return a / n }))
	printRow(w, "highest", highest)
	_ = w.Flush()
}

// usageBetween returns the resource usage of a router between the readings a and b.
func usageBetween(a, b reading) resourceUsage {
	seconds := b.at.Sub(a.at).Seconds()
	rate := func(name string) float64 { return (b.metrics[name] - a.metrics[name]) / seconds }
	usage := resourceUsage{
		requests:      rate("requests"),
		leaseRequests: rate("lease_asks"),
		bytesSent:     rate("control_bytes_sent"),
		bytesReceived: rate("control_bytes_received"),
		packetsSent:   rate("control_packets_sent"),
		cpuCores:      rate("cpu_seconds"),
		residentBytes: b.metrics["resident_bytes"],
	}
	for name := range b.metrics {
		if strings.HasPrefix(name, "frames_sent{") {
			usage.framesSent += rate(name)
		}
	}
	return usage
}

func combine(a, b resourceUsage, f func(a, b float64) float64) resourceUsage {
	return resourceUsage{
		requests:      f(a.requests, b.requests),
		leaseRequests: f(a.leaseRequests, b.leaseRequests),
		bytesSent:     f(a.bytesSent, b.bytesSent),
		bytesReceived: f(a.bytesReceived, b.bytesReceived),
		packetsSent:   f(a.packetsSent, b.packetsSent),
		framesSent:    f(a.framesSent, b.framesSent),
		cpuCores:      f(a.cpuCores, b.cpuCores),
		residentBytes: f(a.residentBytes, b.residentBytes),
	}
}

func printRow(w *tabwriter.Writer, name string, usage resourceUsage) {
	fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t\n",
		name, usage.requests, usage.leaseRequests, usage.bytesSent, usage.bytesReceived, usage.packetsSent, usage.framesSent, 100*usage.cpuCores, usage.residentBytes/(1<<20))
}
