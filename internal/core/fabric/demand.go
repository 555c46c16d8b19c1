package fabric

import (
	"math"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// This file measures the work that callers offer for each model, and how many hosts it needs. It
// answers load that differs from the configured shares and that shifts between models during a day.
//
// Reports of heads show the requests of all daemons. What daemons refuse is in no report: this
// daemon's own callers are a sample of it.

const (
	// targetUtilisation is the share of a group's slots that its model's need is computed with. Each
	// daemon knows only a part of the load, so above it requests begin to wait at some heads.
	targetUtilisation = 0.8
	// maxReadingShare is the share of a group's time that reading prompts may take. Requests that run pause for
	// it: at this share their events take 1.4 times as long, with most slots still free.
	maxReadingShare = 0.3
	// sizeSamples is the number of requests over which the mean sizes of a model's requests are taken. The
	// published means, of all models together, count as sizePrior of them.
	sizeSamples = 32
	sizePrior   = 1
	// maxSizeSample is how many times the published mean one request may count as: callers state any size.
	maxSizeSample = 8
	// reserveGroups are the groups that a model needs beyond its work: one may be lost while another
	// is under repair.
	reserveGroups = 2
	// offeredReportMaxAge is the age up to which the report of a head counts.
	offeredReportMaxAge = 2 * time.Second
	// offeredRiseHalfLife and offeredFallHalfLife smooth the offered concurrency. It falls slowly, so
	// that a short dip takes no hosts from a model.
	offeredRiseHalfLife = 1500 * time.Millisecond
	offeredFallHalfLife = 8 * time.Second
	// demandSettleTime is how long reports must have come before demand counts, and
	// firstDemandSettleTime the same after the first request of a new deployment: the longest streams
	// run for that long, so their number still grows.
	demandSettleTime      = time.Second
	firstDemandSettleTime = 3 * time.Second
	// admissionHalfLife is the time in which the weight of an own caller's request in the admitted
	// share halves, minAdmissionSamples the weight below which that share counts as 1, and
	// minAdmittedShare its least value.
	admissionHalfLife   = 5 * time.Second
	minAdmissionSamples = 8
	minAdmittedShare    = 0.25
)

// demand is the work offered for the models of one service.
type demand struct {
	// models are by name. A model is missing until a head of it has reported, or a caller has asked for it.
	models map[string]*modelDemand
	// measuredSince is when the first report was counted since this daemon took control or, in a new
	// deployment, since the first request; valid if measuring.
	measuredSince time.Duration
	measuring     bool
	settleTime    time.Duration
	known         bool
	// oldestReport is the age of the oldest report that counted last.
	oldestReport time.Duration
}

// modelDemand is the work offered for one model.
type modelDemand struct {
	// offered are the requests that run, wait or would run had they been admitted, smoothed; it falls slowly.
	// present is the same without memory of a recent peak.
	offered, present float64
	updatedAt        time.Duration
	seen             bool // offered and present are valid
	// admitted and counted weigh this daemon's own callers' requests, as of countedAt.
	admitted, counted float64
	countedAt         time.Duration
	// prompt and answer are the mean tokens of own callers' requests, valid if sized.
	prompt, answer float64
	sized          int // requests counted, with sizePrior
}

func (d *demand) model(name string) *modelDemand {
	if d.models == nil {
		d.models = make(map[string]*modelDemand)
	}
	m := d.models[name]
	if m == nil {
		m = &modelDemand{}
		d.models[name] = m
	}
	return m
}

// restart forgets what a former term of control has measured.
func (d *demand) restart() {
	d.measuring, d.known, d.settleTime = false, false, demandSettleTime
	for _, m := range d.models {
		m.seen = false
	}
}

func (m *modelDemand) ageCounts(now time.Duration) {
	f := math.Exp2(-float64(now-m.countedAt) / float64(admissionHalfLife))
	m.admitted, m.counted, m.countedAt = m.admitted*f, m.counted*f, now
}

// admittedShare is the share of the requests for the model that found a target.
func (m *modelDemand) admittedShare(now time.Duration) float64 {
	m.ageCounts(now)
	if m.counted < minAdmissionSamples {
		return 1
	}
	return max(minAdmittedShare, m.admitted/m.counted)
}

// follow moves the smoothed value towards a measured one.
func (m *modelDemand) follow(now time.Duration, measured float64) {
	if !m.seen {
		m.offered, m.present, m.updatedAt, m.seen = measured, measured, now, true
		return
	}
	keep := func(halfLife time.Duration) float64 {
		return math.Exp2(-float64(now-m.updatedAt) / float64(halfLife))
	}
	halfLife := offeredRiseHalfLife
	if measured < m.offered {
		halfLife = offeredFallHalfLife
	}
	m.offered = measured + (m.offered-measured)*keep(halfLife)
	m.present = measured + (m.present-measured)*keep(offeredRiseHalfLife)
	m.updatedAt = now
}

// RecordOffered counts the first attempt of a request of this daemon's own callers. It must not be
// called for requests that come back after a refusal or were handed over: they would count twice. answer is
// the longest answer that the caller takes, in tokens; 0 if it states none.
func (p *Pool) RecordOffered(now time.Duration, model string, admitted bool, prompt, answer int) {
	if p.engine == nil || p.engine.Model(model) == nil {
		return
	}
	m := p.demand.model(model)
	m.ageCounts(now)
	m.counted++
	m.recordSize(p.engine, float64(prompt), float64(answer))
	if admitted {
		m.admitted++
	}
}

// updateDemand measures the offered work. It is frozen while this daemon's path to the hosts is in
// doubt.
func (p *Pool) updateDemand(now time.Duration, out *step.Out) {
	if p.initialDeployment {
		p.demand.restart()
		p.demand.settleTime = firstDemandSettleTime
		return
	}
	if _, cut := p.partitions[anywhere]; cut {
		return
	}
	p.demand.oldestReport = 0
	for i := range p.engine.Models {
		p.measure(now, &p.engine.Models[i])
	}
	known := p.demand.measuring && now-p.demand.measuredSince >= p.demand.settleTime
	if known != p.demand.known {
		p.demand.known = known
		p.logDemandKnown(out)
	}
}

// measure updates the demand for one model by the reports of its heads. A model without any report
// keeps its value: that its groups are lost does not mean that nobody asks for it.
func (p *Pool) measure(now time.Duration, m *site.Model) {
	groups, reported, sum := 0, 0, 0
	for _, g := range p.groups {
		if g.model.Name != m.Name || g.stage != serving && g.stage != opening {
			continue
		}
		groups++
		h := p.hosts[g.head().id]
		if h == nil || !h.hasAnswered || h.lastReport.Member.Group != g.id || now-h.lastAnswerAt > offeredReportMaxAge {
			continue
		}
		reported++
		sum += h.lastReport.Running + h.lastReport.Queued
		p.demand.oldestReport = max(p.demand.oldestReport, now-h.lastAnswerAt)
	}
	if reported == 0 {
		return
	}
	if !p.demand.measuring {
		p.demand.measuring, p.demand.measuredSince = true, now
	}
	d := p.demand.model(m.Name)
	d.follow(now, float64(sum)*float64(groups)/float64(reported)/d.admittedShare(now))
}

func (p *Pool) logDemandKnown(out *step.Out) {
	fields := []event.Field{event.F("known", p.demand.known)}
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		fields = append(fields, event.F("model"+string(rune('0'+i%10)), m.Name), event.F("offered"+string(rune('0'+i%10)), p.demand.model(m.Name).offered))
	}
	out.Log(event.DemandKnown, fields...)
}

func (m *modelDemand) recordSize(e *site.Engine, prompt, answer float64) {
	if answer == 0 {
		answer = e.MeanAnswerTokens
	}
	if m.sized == 0 {
		m.prompt, m.answer, m.sized = e.MeanPromptTokens, e.MeanAnswerTokens, sizePrior
	}
	m.sized = min(m.sized+1, sizeSamples)
	weight := 1 / float64(m.sized)
	m.prompt += weight * (min(prompt, maxSizeSample*e.MeanPromptTokens) - m.prompt)
	m.answer += weight * (min(answer, maxSizeSample*e.MeanAnswerTokens) - m.answer)
}

// readingGroups is the number of groups that a model needs so that reading prompts takes at most
// maxReadingShare of their time, if so many requests are offered at once.
func (p *Pool) readingGroups(m *site.Model, d *modelDemand, offered float64) float64 {
	prompt, answer := p.engine.MeanPromptTokens, p.engine.MeanAnswerTokens
	if d.sized > 0 {
		prompt, answer = d.prompt, d.answer
	}
	reading := p.engine.PromptTime(m, int(prompt))
	running := p.engine.AnswerTime(m, answer, max(1, int(targetUtilisation*float64(p.engine.Slots))))
	if reading <= 0 || running <= 0 {
		return 0
	}
	return offered * float64(reading) / float64(reading+running) / maxReadingShare
}

// need is the number of hosts that a model needs for the work offered, and presentNeed the same without memory of
// a recent peak. They are valid while demand is known.
func (p *Pool) need(m *site.Model) float64 {
	return p.needFor(m, func(d *modelDemand) float64 { return d.offered })
}

func (p *Pool) presentNeed(m *site.Model) float64 {
	return p.needFor(m, func(d *modelDemand) float64 { return d.present })
}

// needFor is the number of hosts for the slots that requests take, or for reading their prompts, whichever is more.
func (p *Pool) needFor(m *site.Model, offered func(*modelDemand) float64) float64 {
	d := p.demand.models[m.Name]
	if d == nil || !d.seen || d.offered == 0 {
		return float64(m.GroupSize)
	}
	bySlots := offered(d) / (float64(max(p.engine.Slots, 1)) * targetUtilisation)
	return float64(m.GroupSize) * (max(bySlots, p.readingGroups(m, d, offered(d))) + reserveGroups)
}

// share is a model's part of the hosts: by the work offered or, while that is unknown, by the
// configuration.
func (p *Pool) share(m *site.Model) float64 {
	if !p.demand.known {
		return max(m.Share, minShare)
	}
	sum := 0.0
	for i := range p.engine.Models {
		sum += p.need(&p.engine.Models[i])
	}
	return max(p.need(m)/sum, minShare)
}

// ModelStats describes one model, by its position in the configuration.
type ModelStats struct {
	Offered float64 // requests that run, wait, or were refused at the same rate; 0 while unknown
	Need    float64 // hosts; 0 while unknown
	Hosts   int     // in groups that form or serve
	Groups  int     // that serve
}

// ModelStats returns the statistics of the models while this daemon holds control, else nil.
func (p *Pool) ModelStats() []ModelStats {
	if !p.active || p.engine == nil {
		return nil
	}
	stats := make([]ModelStats, len(p.engine.Models))
	for i := range stats {
		m := &p.engine.Models[i]
		stats[i].Hosts = p.totals.activeHosts[m.Name]
		if p.demand.known {
			stats[i].Offered, stats[i].Need = p.demand.model(m.Name).offered, p.need(m)
		}
	}
	for _, g := range p.groups {
		for i := range stats {
			if g.stage == serving && g.model.Name == p.engine.Models[i].Name {
				stats[i].Groups++
			}
		}
	}
	return stats
}

// AdmittedShare returns the share of this daemon's own callers' requests for a model that found a target.
func (p *Pool) AdmittedShare(now time.Duration, model string) float64 {
	return p.demand.model(model).admittedShare(now)
}
