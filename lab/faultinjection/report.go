package faultinjection

import (
	"chalkstand/lab/invariants"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is how a day went.
type Report struct {
	Seed     uint64
	Day      time.Duration
	Script   Script
	Classes  []ClassReport
	Attempts int // at nodes
	Further  int
	Repeats  int // dropped by nodes
	Late     int // answers at nodes that came after their attempt's end
	Breaches []invariants.Violation
}

// ClassReport is how one class fared.
type ClassReport struct {
	Name                                  string
	Asked, Served, InAim, Refused, Failed int
	Cut, Left, Unanswered                 int
	Latency                               *hdrhistogram.Histogram // of served ones, microseconds
}

func report(d *day) *Report {
	s := site(d.o, 0)
	r := &Report{Seed: d.o.Seed, Day: d.o.Day, Script: d.o.Script, Breaches: invariants.Check(d.f, &d.log)}
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, ClassReport{Name: c.Name, Latency: hdrhistogram.New(1, 60_000_000, 3)})
	}
	for _, q := range d.log.Requests {
		c := &r.Classes[q.Class]
		c.Asked++
		switch {
		case q.Cut:
			c.Cut++
		case q.Left:
			c.Left++
		case q.Answers == 0:
			c.Unanswered++
		case q.Status == 503:
			c.Refused++
		case q.Status >= 500:
			c.Failed++
		default:
			c.Served++
			c.Latency.RecordValue((q.Ended - q.Sent).Microseconds())
			if q.Ended-q.Sent <= s.Classes[q.Class].Aim.D() {
				c.InAim++
			}
		}
	}
	for _, e := range d.log.Entries {
		r.Attempts++
		if e.Attempt > 0 {
			r.Further++
		}
		if e.Repeat {
			r.Repeats++
		}
		if e.Left > 0 && e.Ended > e.Left {
			r.Late++
		}
	}
	return r
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "bad day: seed %d, %v\n\n", r.Seed, r.Day)
	fmt.Fprintf(w, "%-8s %6s %6s %6s %7s %6s %4s %5s %10s %9s %9s\n", "class", "asked", "served", "in aim", "refused", "failed", "cut", "left", "unanswered", "median", "99 %")
	for _, c := range r.Classes {
		q := func(p float64) time.Duration {
			return (time.Duration(c.Latency.ValueAtQuantile(p)) * time.Microsecond).Round(100 * time.Microsecond)
		}
		fmt.Fprintf(w, "%-8s %6d %6d %6d %7d %6d %4d %5d %10d %9v %9v\n", c.Name, c.Asked, c.Served, c.InAim, c.Refused, c.Failed, c.Cut, c.Left,
			c.Unanswered, q(50), q(99))
	}
	fmt.Fprintf(w, "\nat nodes: %d attempts, %d of them further ones, %d repeats dropped, %d that ran on after their attempt's end\n\n", r.Attempts, r.Further, r.Repeats, r.Late)
	for _, rule := range invariants.All {
		n := 0
		for _, b := range r.Breaches {
			if b.Rule == rule {
				if n++; n <= 5 {
					fmt.Fprintf(w, "BROKEN %s: %8.3fs %s\n", rule, b.At.Seconds(), b.What)
				}
			}
		}
		if n == 0 {
			fmt.Fprintf(w, "kept   %s\n", rule)
		} else {
			fmt.Fprintf(w, "       %d in all\n", n)
		}
	}
}
