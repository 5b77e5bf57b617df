// Package experiment runs named experiments against real balancers. An experiment's XML file gives the deployment,
// the load, the steps with their faults and the bounds; Find or Read reads it, and Run runs its passes with a seed
// and returns a report. Figures come from what a checker observed on the sockets of clients and nodes and from the
// balancers' logs and memory; the package must not know a balancer's internals.
package experiment

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"io"
	"path"
	"slices"
	"strings"

	"spurspread/internal/xmlconfig"
	"spurspread/lab/experiments"
	"spurspread/lab/node"
	"spurspread/lab/report"
)

// document is the form of an experiment's file.
func document() xmlconfig.Document {
	return xmlconfig.Document{Root: "experiment", Namespace: "urn:spurspread:experiment:1"}
}

// Experiment is one experiment's file.
type Experiment struct {
	Name  xmlconfig.Name `xml:"name,attr" use:"required"`
	About xmlconfig.Text `xml:"about,attr" use:"required" doc:"what it shows, in one line"`

	Fleet  Fleet  `xml:"fleet"`
	Load   Load   `xml:"load"`
	Passes Passes `xml:"passes"`
	Steps  Steps  `xml:"steps"`
	Bounds Bounds `xml:"bounds"`
}

// Fleet is the deployment that is emulated around the balancers.
type Fleet struct {
	Balancers        int                `xml:"balancers,attr" default:"3" min:"1" max:"16" doc:"real balancers, a process each"`
	Nodes            int                `xml:"nodes,attr" default:"12" min:"1" max:"200" doc:"emulated index nodes"`
	Store            xmlconfig.Rate     `xml:"store,attr" default:"80/s" doc:"calls that the session store serves"`
	SetUpTime        xmlconfig.Duration `xml:"set-up,attr" default:"4ms" max:"1s" doc:"a node's own work for a connection"`
	DrainPatience    xmlconfig.Duration `xml:"patience,attr" default:"2500ms" doc:"of a draining node with clients that take tokens"`
	DiscoveryDelay   xmlconfig.Duration `xml:"late,attr" default:"200ms" max:"10s" doc:"how late discovery tells"`
	HealthCheckDelay xmlconfig.Duration `xml:"notice,attr" default:"1500ms" max:"10s" doc:"how late the front sees that a balancer is dead"`
}

// Load is the streams of the clients.
type Load struct {
	Streams              int                `xml:"streams,attr" default:"500" min:"1" max:"20000"`
	InitialNode          int                `xml:"node,attr" default:"0" doc:"where all of them stand at first"`
	Groups               int                `xml:"groups,attr" default:"50" min:"1" doc:"of streams that share their work"`
	Interval             xmlconfig.Duration `xml:"interval,attr" default:"250ms" min:"1ms" doc:"between two messages of a stream"`
	MessageBytes         xmlconfig.Size     `xml:"length,attr" default:"64B" min:"16B" max:"3KiB" doc:"of a message"`
	RetainedMessages     int                `xml:"keep,attr" default:"400" min:"1" doc:"messages that a node's log keeps"`
	Spread               bool               `xml:"spread,attr" default:"false" doc:"streams stand on all nodes in turn, and not on one"`
	StreamsPerConnection int                `xml:"share,attr" default:"5" min:"1" max:"1000" doc:"streams on one connection, where they are channels"`
}

// Passes are the variants in which the same steps are run, one after another.
type Passes struct {
	Pass []*Pass `xml:"pass" least:"1" most:"8"`
}

// Pass is one variant. Figures of the first pass have plain names; those of others begin with the pass's name.
type Pass struct {
	Name             xmlconfig.Name `xml:"name,attr" use:"required" key:"passes"`
	Tokens           bool           `xml:"tokens,attr" default:"false" doc:"the site file allows tokens, and clients take them"`
	Duplicate        bool           `xml:"twice,attr" default:"false" doc:"clients present each token at two balancers at once"`
	SeparateTempDirs bool           `xml:"apart,attr" default:"false" doc:"a balancer's processes have no TMPDIR in common, and so nothing passes to a new one"`
	Channels         bool           `xml:"channels,attr" default:"false" doc:"clients and nodes speak multiplexed channels"`
}

// Steps are the faults, operations and measurements, in their order.
type Steps struct {
	Step []*Step `xml:"step" least:"1"`
}

// Step is one fault, operation or measurement.
type Step struct {
	Do       string             `xml:"do,attr" use:"required" enum:"drain,kill-node,hang-node,wake-node,restart-node,list-gone,kill-balancer,start-balancer,terminate-balancer,upgrade-balancer,lame-duck,rejoin,settle,garbage,watch,hold-clients,release-clients,stop-reading-node,break-trunks,weigh" doc:"upgrade-balancer: a new process beside the old one, which is then stopped in the planned way; lame-duck, rejoin: calls of the balancer's management address, and 4 s later nobody is to be left on a lame duck; settle: until all streams stand; garbage: clients that present garbage tokens as fast as they can; watch: measure the streams beside what the step names; hold-clients: the first client of each connection reads nothing; stop-reading-node: it goes on sending; break-trunks: the node's connections with channels are reset; weigh: the balancers' memory for each stream"`
	After    xmlconfig.Duration `xml:"after,attr" default:"0s" max:"10m" doc:"the step before"`
	Jitter   xmlconfig.Duration `xml:"jitter,attr" default:"0s" max:"1m" doc:"and up to so much, drawn from the seed"`
	Node     int                `xml:"node,attr" default:"0"`
	Balancer int                `xml:"balancer,attr" default:"0"`
	Within   xmlconfig.Duration `xml:"within,attr" default:"30s" doc:"of settle: the run is void if it takes longer"`
	Duration xmlconfig.Duration `xml:"for,attr" default:"5s" max:"10m" doc:"of garbage: so long before it the delays of messages are measured, and so long it lasts; of watch: how long"`
	Others   string             `xml:"beside,attr" enum:"node,first" default:"node" doc:"of watch: the streams that do not stand on the step's node, or are not the first of their connection"`
	Prefix   xmlconfig.Name     `xml:"as,attr" default:"before" doc:"of watch: its figures begin so; others are compared with 'before'"`
}

// Bounds are the limits that the figures must keep.
type Bounds struct {
	Bound []*Bound `xml:"bound" least:"1"`
}

// Bound is a limit to a figure.
type Bound struct {
	Name xmlconfig.Name   `xml:"name,attr" use:"required" key:"bounds"`
	Max  xmlconfig.Number `xml:"most,attr" doc:"the figure may be no more"`
	Min  xmlconfig.Number `xml:"least,attr" doc:"the figure may be no less; counts where it is not 0"`
	Over xmlconfig.Name   `xml:"over,attr" doc:"not the figure itself, but its ratio over this one"`
}

// Check rejects nodes and balancers that the deployment does not have. It implements xmlconfig's check of a document.
func (e *Experiment) Check(f *xmlconfig.File) {
	for _, s := range e.Steps.Step {
		checkIndex(f, &s.Node, e.Fleet.Nodes, "node")
		checkIndex(f, &s.Balancer, e.Fleet.Balancers, "balancer")
	}
	checkIndex(f, &e.Load.InitialNode, e.Fleet.Nodes, "node")
}

// checkIndex adds a fault where a field is no index below count.
func checkIndex(f *xmlconfig.File, field *int, count int, what string) {
	if *field >= count {
		f.AddError(field, fmt.Sprintf("write 0 to %d", count-1), "there is no %s %d", what, *field)
	}
}

// Read parses the text of an experiment's file; name is used in errors, which are xmlconfig.FieldErrors.
func Read(name string, text []byte) (*Experiment, error) {
	e := &Experiment{}
	if err := xmlconfig.Read(name, text, document(), e); err != nil {
		return nil, err
	}
	return e, nil
}

// ErrUnknown is the error of Find for a name that no embedded experiment has.
var ErrUnknown = errors.New("there is no experiment")

// Find returns the embedded experiment of that name, or reads the file if the name ends in .xml. A name that is not
// there gives ErrUnknown.
func Find(name string) (*Experiment, error) {
	if strings.HasSuffix(name, ".xml") {
		e := &Experiment{}
		return e, xmlconfig.Load(name, document(), e)
	}
	text, err := experiments.Files.ReadFile(name + ".xml")
	if err != nil {
		return nil, fmt.Errorf("%w %q; there are %s", ErrUnknown, name, strings.Join(Names(), ", "))
	}
	return Read(name+".xml", text)
}

// Names returns the names of the embedded experiments, sorted.
func Names() []string { return namesIn(experiments.Files) }

func namesIn(files embed.FS) []string {
	var out []string
	entries, _ := files.ReadDir(".") // embedded: it can be read
	for _, e := range entries {
		if name, ok := strings.CutSuffix(path.Base(e.Name()), ".xml"); ok {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Options are what a run adds to the experiment's file.
type Options struct {
	Seed     uint64     // of the player's and the clients' random draws, and of the balancers
	Program  string     // path of the balancer's executable
	Progress io.Writer  // receives a line for each step; nil: none
	Command  string     // for the report: how the run was started
	Commit   string     // for the report: what was measured
	Fault    node.Fault // injected into the nodes, to test the checker; "": none
}

// Run runs the passes of the experiment one after another. An error means that it could not be run; bounds that were
// broken are in the report.
func (e *Experiment) Run(ctx context.Context, o Options) (*report.Report, error) {
	r := &report.Report{
		Experiment: string(e.Name),
		Seed:       o.Seed,
		Command:    o.Command,
		Commit:     o.Commit,
		Figures:    map[string]float64{},
		Notes:      map[string]string{},
	}
	gaps := report.Chart{
		Name:  "gaps",
		Title: string(e.Name) + ": time without a standing connection",
		X:     "streams, %",
		Y:     "ms",
	}
	established := report.Chart{
		Name:  "resumes",
		Title: string(e.Name) + ": streams that stand again",
		X:     "s after the first fault",
		Y:     "a second",
	}
	for i, p := range e.Passes.Pass {
		prefix := ""
		if i > 0 {
			prefix = string(p.Name) + "_"
		}
		if err := e.runPass(ctx, o, p, prefix, r, &gaps, &established); err != nil {
			return nil, fmt.Errorf("pass %s: %w", p.Name, err)
		}
	}
	r.Charts = []report.Chart{gaps, established}
	e.Bounds.Check(r)
	return r, nil
}

// Check compares a report's figures with the bounds, and adds the verdicts to the report.
func (bs *Bounds) Check(r *report.Report) {
	for _, b := range bs.Bound {
		name := string(b.Name)
		if b.Over != "" {
			name += "_ratio"
			r.AddRatio(name, string(b.Name), string(b.Over))
		}
		if b.Min > 0 {
			r.Check(name, float64(b.Min), true)
		} else {
			r.Check(name, float64(b.Max), false)
		}
	}
}
