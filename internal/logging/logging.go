package logging

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Format is the format of log lines.
type Format string

// The formats.
const (
	Text Format = "text" // key=value pairs
	JSON Format = "json" // one object per line, with time, level, msg and the fields
)

// New returns a logger that writes to out. Any format other than JSON means Text.
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
