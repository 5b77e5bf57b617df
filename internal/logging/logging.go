package logging

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Format is how lines are written.
type Format string

// The formats.
const (
	Text Format = "text" // key=value pairs
	JSON Format = "json" // an object a line, with time, level, msg and the fields
)

// New returns a logger that writes to out. A format other than JSON is Text.
func New(out io.Writer, format Format) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	if format == JSON {
		log.SetFormatter(&logrus.JSONFormatter{
			TimestampFormat: time.RFC3339Nano,
			FieldMap: logrus.FieldMap{
				logrus.FieldKeyTime:  "time",
				logrus.FieldKeyMsg:   "msg",
				logrus.FieldKeyLevel: "level",
			},
		})
	}
	return log
}
