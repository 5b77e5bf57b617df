// Package experiment runs named experiments against real balancers. An experiment's XML file specifies the
// deployment, the load, the steps (faults, operations and measurements) and the bounds. Find or Read parses the file,
// and Run runs its passes with a seed and returns a report. Figures come from a checker that observes the sockets of
// clients and nodes, and from the balancers' logs and memory; the package must not know a balancer's internals.
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

// document describes the root element of an experiment file.
func document() xmlconfig.Document {
	return xmlconfig.Document{Root: "experiment", Namespace: "urn:spurspread:experiment:1"}
}

// Experiment is the content of one experiment file.
type Experiment struct {
	Name  xmlconfig.Name `xml:"name,attr" use:"required"`
	About xmlconfig.Text `xml:"about,attr" use:"required" doc:"what the experiment shows, in one line"`

	Fleet  Fleet  `xml:"fleet"`
	Load   Load   `xml:"load"`
	Passes Passes `xml:"passes"`
	Steps  Steps  `xml:"steps"`
	Bounds Bounds `xml:"bounds"`
}

// Fleet describes the emulated deployment: the balancers and the services around them.
type Fleet struct {
	Balancers        int                `xml:"balancers,attr" default:"3" min:"1" max:"16" doc:"real balancers, a process each"`
	Nodes            int                `xml:"nodes,attr" default:"12" min:"1" max:"200" doc:"emulated index nodes"`
	Store            xmlconfig.Rate     `xml:"store,attr" default:"80/s" doc:"rate of calls that the session store serves"`
	SetUpTime        xmlconfig.Duration `xml:"set-up,attr" default:"4ms" max:"1s" doc:"time that a node takes to set up a connection"`
	DrainPatience    xmlconfig.Duration `xml:"patience,attr" default:"2500ms" doc:"time from a node's drain until it moves clients that take tokens"`
	DiscoveryDelay   xmlconfig.Duration `xml:"late,attr" default:"200ms" max:"10s" doc:"delay until discovery publishes a change"`
	HealthCheckDelay xmlconfig.Duration `xml:"notice,attr" default:"1500ms" max:"10s" doc:"delay until the front end stops using a dead balancer"`
}

// Load describes the clients' streams.
type Load struct {
	Streams              int                `xml:"streams,attr" default:"500" min:"1" max:"20000"`
	InitialNode          int                `xml:"node,attr" default:"0" doc:"node at which all streams are established at first"`
	Groups               int                `xml:"groups,attr" default:"50" min:"1" doc:"number of groups of streams that share work"`
	Interval             xmlconfig.Duration `xml:"interval,attr" default:"250ms" min:"1ms" doc:"time between two messages of a stream"`
	MessageBytes         xmlconfig.Size     `xml:"length,attr" default:"64B" min:"16B" max:"3KiB" doc:"length of a message"`
	RetainedMessages     int                `xml:"keep,attr" default:"400" min:"1" doc:"messages of a stream that a node's log retains"`
	Spread               bool               `xml:"spread,attr" default:"false" doc:"streams start at all nodes in turn, instead of all at one node"`
	StreamsPerConnection int                `xml:"share,attr" default:"5" min:"1" max:"1000" doc:"streams that share one connection, in passes with channels"`
}

// Passes are the variants in which the same steps are run, one after another.
type Passes struct {
	Pass []*Pass `xml:"pass" least:"1" most:"8"`
}

// Pass is one variant. The figures of the first pass have plain names; those of other passes have the pass's name as
// a prefix.
type Pass struct {
	Name             xmlconfig.Name `xml:"name,attr" use:"required" key:"passes"`
	Tokens           bool           `xml:"tokens,attr" default:"false" doc:"the site file enables resume tokens, and clients use them"`
	Duplicate        bool           `xml:"twice,attr" default:"false" doc:"clients present each token at two balancers at the same time"`
	SeparateTempDirs bool           `xml:"apart,attr" default:"false" doc:"each balancer process has its own TMPDIR, so that an old process can hand nothing over to a new one"`
	Channels         bool           `xml:"channels,attr" default:"false" doc:"clients and nodes use multiplexed channels"`
}

// Steps lists the faults, operations and measurements in the order in which they are carried out.
type Steps struct {
	Step []*Step `xml:"step" least:"1"`
}

// Step is one fault, operation or measurement.
type Step struct {
	Do       string             `xml:"do,attr" use:"required" enum:"drain,kill-node,hang-node,wake-node,restart-node,list-gone,kill-balancer,start-balancer,terminate-balancer,upgrade-balancer,lame-duck,rejoin,settle,garbage,watch,hold-clients,release-clients,stop-reading-node,break-trunks,weigh" doc:"upgrade-balancer: start a new process beside the old one, which is then stopped with SIGTERM; lame-duck, rejoin: call the balancer's management address; a lame duck should have moved all its clients 4 s later; settle: wait until all streams are established; garbage: clients present random tokens as fast as they are answered; watch: measure the streams that the step's fault does not affect directly; hold-clients: the first client of each connection stops reading; stop-reading-node: the node stops reading but goes on sending; break-trunks: reset the node's connections with channels; weigh: measure the balancers' memory for each stream"`
	After    xmlconfig.Duration `xml:"after,attr" default:"0s" max:"10m" doc:"wait after the previous step"`
	Jitter   xmlconfig.Duration `xml:"jitter,attr" default:"0s" max:"1m" doc:"upper bound of an additional random wait, drawn from the seed"`
	Node     int                `xml:"node,attr" default:"0"`
	Balancer int                `xml:"balancer,attr" default:"0"`
	Within   xmlconfig.Duration `xml:"within,attr" default:"30s" doc:"settle: timeout, after which the run is aborted"`
	Duration xmlconfig.Duration `xml:"for,attr" default:"5s" max:"10m" doc:"garbage: length of the measurement before and of the one during the load with garbage tokens; watch: length of the measurement"`
	Others   string             `xml:"beside,attr" enum:"node,first" default:"node" doc:"watch: which streams are excluded: those on the step's node, or the first stream of each connection"`
	Prefix   xmlconfig.Name     `xml:"as,attr" default:"before" doc:"watch: prefix of its figures; those with another prefix than 'before' are compared with the latest 'before'"`
}

// Bounds lists the limits that the figures must keep.
type Bounds struct {
	Bound []*Bound `xml:"bound" least:"1"`
}

// Bound is an upper or lower limit for a figure or for a ratio of two figures.
type Bound struct {
	Name xmlconfig.Name   `xml:"name,attr" use:"required" key:"bounds"`
	Max  xmlconfig.Number `xml:"most,attr" doc:"upper limit of the figure; ignored if least is set"`
	Min  xmlconfig.Number `xml:"least,attr" doc:"lower limit of the figure; 0: none"`
	Over xmlconfig.Name   `xml:"over,attr" doc:"the limit is for the ratio of the figure to this one"`
}

// Check adds an error to f for each index of a node or balancer that the deployment does not have. xmlconfig calls it
// after parsing the file.
func (e *Experiment) Check(f *xmlconfig.File) {
	for _, s := range e.Steps.Step {
		checkIndex(f, &s.Node, e.Fleet.Nodes, "node")
		checkIndex(f, &s.Balancer, e.Fleet.Balancers, "balancer")
	}
	checkIndex(f, &e.Load.InitialNode, e.Fleet.Nodes, "node")
}

// checkIndex adds an error to f if a field is not less than count.
func checkIndex(f *xmlconfig.File, field *int, count int, what string) {
	if *field >= count {
		f.AddError(field, fmt.Sprintf("write 0 to %d", count-1), "there is no %s %d", what, *field)
	}
}

// Read parses the text of an experiment file. Errors are xmlconfig.FieldErrors, which show name as the file's name.
func Read(name string, text []byte) (*Experiment, error) {
	e := &Experiment{}
	if err := xmlconfig.Read(name, text, document(), e); err != nil {
		return nil, err
	}
	return e, nil
}

// ErrUnknown is returned by Find for a name that no embedded experiment has.
var ErrUnknown = errors.New("unknown experiment")

// Find returns the embedded experiment with a name, or reads the file with that path if the name ends in .xml. For
// any other name the error is ErrUnknown.
func Find(name string) (*Experiment, error) {
	if strings.HasSuffix(name, ".xml") {
		e := &Experiment{}
		return e, xmlconfig.Load(name, document(), e)
	}
	text, err := experiments.Files.ReadFile(name + ".xml")
	if err != nil {
		return nil, fmt.Errorf("%w %q, expected one of %s", ErrUnknown, name, strings.Join(Names(), ", "))
	}
	return Read(name+".xml", text)
}

// Names returns the names of the embedded experiments, sorted.
func Names() []string { return namesIn(experiments.Files) }

func namesIn(files embed.FS) []string {
	var out []string
	entries, _ := files.ReadDir(".") // the root of an embedded file system can always be read
	for _, e := range entries {
		if name, ok := strings.CutSuffix(path.Base(e.Name()), ".xml"); ok {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Options are the parameters of a run that are not in the experiment's file. Program must be set.
type Options struct {
	Seed     uint64     // for the random draws of the steps and the clients, and for the balancers
	Program  string     // path of the balancer's executable
	Progress io.Writer  // receives a line for each step; nil: progress is not written
	Command  string     // command line of the run, for the report
	Commit   string     // commit of the balancer that is measured, for the report
	Fault    node.Fault // injected into the nodes to test the checker; "": none
}

// Run runs the passes of the experiment one after another. An error means that the experiment could not be run;
// broken bounds are not errors, but part of the report.
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
		Title: string(e.Name) + ": time without an established connection",
		X:     "streams, %",
		Y:     "ms",
	}
	established := report.Chart{
		Name:  "resumes",
		Title: string(e.Name) + ": reestablished streams",
		X:     "s after the first fault",
		Y:     "streams per second",
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

// Check compares a report's figures with the bounds, and adds the results to the report.
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
