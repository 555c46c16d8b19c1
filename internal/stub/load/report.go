package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Report sums up the results of a load.
type Report struct {
	Sent    int   `json:"sent"`
	Skipped int64 `json:"skipped"` // arrivals that were not sent: MaxInFlight reached, or no daemon

	NotRun    int `json:"notRun"`
	Completed int `json:"completed"`
	Unknown   int `json:"unknown"`
	NoOutcome int `json:"noOutcome"` // the answer has no outcome, or the connection was lost

	Complete    int `json:"whole"`
	Wrong       int `json:"wrong"`
	Cut         int `json:"cut"` // connections lost before the answer ended
	ErrorEvents int `json:"errorEvents"`
	InDeadline  int `json:"inDeadline"` // complete within the deadline

	// Codes is the number of error answers by code.
	Codes map[string]int `json:"codes"`

	Latency    Quantiles `json:"latency"`
	FirstToken Quantiles `json:"firstToken"`
	WorstGap   Quantiles `json:"worstGap"`

	Seconds []Second `json:"seconds"`
}

// Quantiles are quantiles of durations, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Micros"`
	P95   int64 `json:"p95Micros"`
	P99   int64 `json:"p99Micros"`
	Max   int64 `json:"maxMicros"`
}

// Second holds counts of the requests sent in one second of the load.
type Second struct {
	Sent       int `json:"sent"`
	InDeadline int `json:"inDeadline"`
}

const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3 // kept by histograms
)

type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

func (h histogram) record(d time.Duration) {
	// Longer durations count as the highest value.
	_ = h.RecordValue(min(d.Microseconds(), highestMicros))
}

func (h histogram) quantiles() Quantiles {
	return Quantiles{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

func makeReport(o Options, start time.Time, skipped int64, results []Result) Report {
	report := Report{
		Sent: len(results), Skipped: skipped, Codes: make(map[string]int),
		Seconds: make([]Second, int(o.Duration/time.Second)+1),
	}
	latency, firstToken, worstGap := newHistogram(), newHistogram(), newHistogram()
	for _, r := range results {
		report.add(r)
		second := &report.Seconds[min(int(r.Sent.Sub(start)/time.Second), len(report.Seconds)-1)]
		second.Sent++
		if r.Complete && r.Latency <= o.Deadline {
			report.InDeadline++
			second.InDeadline++
		}
		if !r.Complete {
			continue
		}
		latency.record(r.Latency)
		if r.FirstToken > 0 {
			firstToken.record(r.FirstToken)
			worstGap.record(r.WorstGap)
		}
	}
	report.Latency, report.FirstToken, report.WorstGap = latency.quantiles(), firstToken.quantiles(), worstGap.quantiles()
	return report
}

func (r *Report) add(result Result) {
	switch result.Outcome {
	case object.NotRun:
		r.NotRun++
	case object.Completed:
		r.Completed++
	case object.Unknown:
		r.Unknown++
	default:
		r.NoOutcome++
	}
	count(&r.Complete, result.Complete)
	count(&r.Wrong, result.Wrong)
	count(&r.Cut, result.Cut())
	count(&r.ErrorEvents, result.ErrorEvent)
	if result.Code != "" {
		r.Codes[result.Code]++
	}
}

func count(n *int, yes bool) {
	if yes {
		*n++
	}
}
