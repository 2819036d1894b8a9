package main

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// newLog returns a log of JSON lines.
func newLog(out io.Writer, level string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(parsed)
	return log, nil
}
