// Package experiment plays the named experiments: each says in a file of its own which deployment, load, faults and
// bounds it has; the runner plays it with a seed, lets a checker judge what crossed the sockets, and writes a report.
package experiment

import (
	"context"
	"embed"
	"fmt"
	"io"
	"path"
	"slices"
	"spurspread/internal/xmlconfig"
	"spurspread/lab/experiments"
	"spurspread/lab/node"
	"spurspread/lab/report"
	"strings"
)

// Document is what an experiment's file looks like.
var Document = xmlconfig.Document{Root: "experiment", Namespace: "urn:spurspread:experiment:1"}

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

// Fleet is the deployment.
type Fleet struct {
	Balancers int                `xml:"balancers,attr" default:"3" min:"1" max:"16" doc:"real balancers, a process each"`
	Nodes     int                `xml:"nodes,attr" default:"12" min:"1" max:"200" doc:"emulated index nodes"`
	Store     xmlconfig.Rate     `xml:"store,attr" default:"80/s" doc:"calls that the session store serves"`
	SetUp     xmlconfig.Duration `xml:"set-up,attr" default:"4ms" max:"1s" doc:"a node's own work for a connection"`
	DrainPatience  xmlconfig.Duration `xml:"patience,attr" default:"2500ms" doc:"of a draining node with clients that take tokens"`
	DiscoveryDelay      xmlconfig.Duration `xml:"late,attr" default:"200ms" max:"10s" doc:"how late discovery tells"`
	HealthCheckDelay    xmlconfig.Duration `xml:"notice,attr" default:"1500ms" max:"10s" doc:"how late the front sees that a balancer is dead"`
}

// Load is what clients do.
type Load struct {
	Streams  int                `xml:"streams,attr" default:"500" min:"1" max:"20000"`
	Node     int                `xml:"node,attr" default:"0" doc:"where all of them stand at first"`
	Groups   int                `xml:"groups,attr" default:"50" min:"1" doc:"of streams that share their work"`
	Interval xmlconfig.Duration `xml:"interval,attr" default:"250ms" min:"1ms" doc:"between two messages of a stream"`
	MessageBytes   xmlconfig.Size     `xml:"length,attr" default:"64B" min:"16B" max:"3KiB" doc:"of a message"`
	RetainedMessages     int                `xml:"keep,attr" default:"400" min:"1" doc:"messages that a node's log keeps"`
	Spread   bool               `xml:"spread,attr" default:"false" doc:"streams stand on all nodes in turn, and not on one"`
	StreamsPerConnection    int                `xml:"share,attr" default:"5" min:"1" max:"1000" doc:"streams on one connection, where they are channels"`
}

// Passes are the ways in which the same is played, one after another in one run.
type Passes struct {
	Pass []*Pass `xml:"pass" least:"1" most:"8"`
}

// Pass is one way. The figures of the first have their plain names; those of others begin with the pass's name.
type Pass struct {
	Name     xmlconfig.Name `xml:"name,attr" use:"required" key:"passes"`
	Tokens   bool           `xml:"tokens,attr" default:"false" doc:"the site file allows tokens, and clients take them"`
	Duplicate    bool           `xml:"twice,attr" default:"false" doc:"clients present each token at two balancers at once"`
	SeparateTempDirs    bool           `xml:"apart,attr" default:"false" doc:"a balancer's processes have no TMPDIR in common, and so nothing passes to a new one"`
	Channels bool           `xml:"channels,attr" default:"false" doc:"clients and nodes speak multiplexed channels"`
}

// Steps are what happens to the deployment, one after another.
type Steps struct {
	Step []*Step `xml:"step" least:"1"`
}

// Step is one thing that happens.
type Step struct {
	Do       string             `xml:"do,attr" use:"required" enum:"drain,kill-node,hang-node,wake-node,restart-node,list-gone,kill-balancer,start-balancer,terminate-balancer,upgrade-balancer,lame-duck,rejoin,settle,garbage,watch,hold-clients,release-clients,stop-reading-node,break-trunks,weigh" doc:"upgrade-balancer: a new process beside the old one, which is then stopped in the planned way; lame-duck, rejoin: calls of the balancer's management address, and 4 s later nobody is to be left on a lame duck; settle: until all streams stand; garbage: clients that present garbage tokens as fast as they can; watch: measure the streams beside what the step names; hold-clients: the first client of each connection reads nothing; stop-reading-node: it goes on sending; break-trunks: the node's connections with channels are reset; weigh: the balancers' memory for each stream"`
	After    xmlconfig.Duration `xml:"after,attr" default:"0s" max:"10m" doc:"the step before"`
	Jitter   xmlconfig.Duration `xml:"jitter,attr" default:"0s" max:"1m" doc:"and up to so much, drawn from the seed"`
	Node     int                `xml:"node,attr" default:"0"`
	Balancer int                `xml:"balancer,attr" default:"0"`
	Within   xmlconfig.Duration `xml:"within,attr" default:"30s" doc:"of settle: the run is void if it takes longer"`
	Duration      xmlconfig.Duration `xml:"for,attr" default:"5s" max:"10m" doc:"of garbage: so long before it the delays of messages are measured, and so long it lasts; of watch: how long"`
	Others   string             `xml:"beside,attr" enum:"node,first" default:"node" doc:"of watch: the streams that do not stand on the step's node, or are not the first of their connection"`
	Prefix       xmlconfig.Name     `xml:"as,attr" default:"before" doc:"of watch: its figures begin so; others are compared with 'before'"`
}

// Bounds are what must hold.
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

// Check is part of form.Checker.
func (e *Experiment) Check(f *xmlconfig.File) {
	for _, s := range e.Steps.Step {
		if s.Node >= e.Fleet.Nodes {
			f.Fault(&s.Node, fmt.Sprintf("write 0 to %d", e.Fleet.Nodes-1), "there is no node %d", s.Node)
		}
		if s.Balancer >= e.Fleet.Balancers {
			f.Fault(
				&s.Balancer,
				fmt.Sprintf("write 0 to %d", e.Fleet.Balancers-1),
				"there is no balancer %d",
				s.Balancer,
			)
		}
	}
	if e.Load.Node >= e.Fleet.Nodes {
		f.Fault(&e.Load.Node, fmt.Sprintf("write 0 to %d", e.Fleet.Nodes-1), "there is no node %d", e.Load.Node)
	}
}

// Read reads an experiment's file.
func Read(name string, text []byte) (*Experiment, error) {
	e := &Experiment{}
	if err := xmlconfig.Read(name, text, Document, e); err != nil {
		return nil, err
	}
	return e, nil
}

// Find finds a kept experiment by its name, or reads the file where a name ends in .xml.
func Find(name string) (*Experiment, error) {
	if strings.HasSuffix(name, ".xml") {
		e := &Experiment{}
		return e, xmlconfig.Load(name, Document, e)
	}
	text, err := experiments.Files.ReadFile(name + ".xml")
	if err != nil {
		return nil, fmt.Errorf("there is no experiment %q; there are %s", name, strings.Join(Names(), ", "))
	}
	return Read(name+".xml", text)
}

// Names are the kept experiments.
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

// Options say how an experiment is run.
type Options struct {
	Seed     uint64
	Program  string    // the balancer's
	Progress io.Writer // a line for each step
	Command  string    // as the report tells it
	Commit   string
	Fault    node.Fault // planted in the nodes
}

// Run plays the experiment. An error means that it could not be played; bounds that do not hold are in the report.
func (e *Experiment) Run(ctx context.Context, o Options) (*report.Report, error) {
	r := &report.Report{
		Experiment: string(e.Name), Seed: o.Seed, Command: o.Command, Commit: o.Commit,
		Figures: map[string]float64{}, Notes: map[string]string{},
	}
	gaps := report.Chart{
		Name:  "gaps",
		Title: string(e.Name) + ": time without a standing connection",
		X:     "streams, %",
		Y:     "ms",
	}
	ups := report.Chart{
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
		if err := e.runPass(ctx, o, p, prefix, r, &gaps, &ups); err != nil {
			return nil, fmt.Errorf("pass %s: %w", p.Name, err)
		}
	}
	r.Charts = []report.Chart{gaps, ups}
	e.Bounds.Check(r)
	return r, nil
}

// Check holds a report's figures against the bounds.
func (all *Bounds) Check(r *report.Report) {
	for _, b := range all.Bound {
		name := string(b.Name)
		if b.Over != "" {
			name += "_ratio"
			r.Ratio(name, string(b.Name), string(b.Over))
		}
		if b.Min > 0 {
			r.Check(name, float64(b.Min), true)
		} else {
			r.Check(name, float64(b.Max), false)
		}
	}
}
