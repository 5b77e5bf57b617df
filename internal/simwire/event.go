package simwire

import (
	"fmt"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

// Flags of a request. All other bits are ignored.
const (
	flagLoadHint      = 1
	flagRetry         = 2
	flagMidConnection = 8
	flagReconnected   = 16
)

// decodeEvent decodes a record that is an event for a balancer. Go evaluates the calls in a composite literal in the
// order in which they are written, so each literal lists its fields in the order of the record.
func decodeEvent(code uint16, f *fields) (decision.Event, error) {
	switch code {
	case eventTimerFired:
		return decision.TimerFired{Token: decision.TimerToken(f.uint64())}, nil
	case eventRequestCancelled:
		return decision.RequestCancelled{ID: f.uint32()}, nil
	case eventEstablished:
		return decision.Established{
			ID: f.uint32(), Attempt: int(f.uint8()), Server: f.uint32(), SetupTime: f.micros(),
		}, nil
	case eventConnectionMetric:
		return decision.ConnectionMetric{
			ID: f.uint32(), Attempt: int(f.uint8()), Server: f.uint32(),
			Kind: decision.MetricKind(f.uint8()), Value: float64(f.float32()),
		}, nil
	case eventAttemptEnded:
		return decodeAttemptEnded(f)
	case eventProbeResult:
		return decodeProbeResult(f)
	case eventRequest:
		return decodeRequest(f), nil
	case eventExistingConnection:
		return decodeExistingConnection(f), nil
	}
	return nil, ErrUnknownEvent
}

func decodeAttemptEnded(f *fields) (decision.Event, error) {
	ended := decision.AttemptEnded{ID: f.uint32(), Attempt: int(f.uint8()), Server: f.uint32()}
	status, err := decodeStatus(f)
	if err != nil {
		return nil, err
	}
	ended.Status = status
	ended.Duration = f.micros()
	ended.RequestClosed = f.uint8() != 0
	ended.LoadReport, err = decodeLoadReport(f)
	return ended, err
}

func decodeProbeResult(f *fields) (decision.Event, error) {
	result := decision.ProbeResult{Server: f.uint32()}
	status, err := decodeStatus(f)
	if err != nil {
		return nil, err
	}
	result.Status = status
	result.Duration = f.micros()
	result.LoadReport, err = decodeLoadReport(f)
	return result, err
}

func decodeRequest(f *fields) decision.Request {
	r := decision.Request{
		ID:       f.uint32(),
		TimeLeft: f.micros(),
		Class:    int(f.uint16()),
		Group:    f.uint64(),
		Tenant:   int(f.uint16()),
		LoadHint: float64(f.uint32()),
	}
	setFlags(&r, f.uint8())
	r.Key = f.uint64()
	return r
}

func decodeExistingConnection(f *fields) decision.ExistingConnection {
	r := decision.Request{
		ID:       f.uint32(),
		Class:    int(f.uint16()),
		Tenant:   int(f.uint16()),
		Key:      f.uint64(),
		TimeLeft: f.micros(),
		LoadHint: float64(f.uint32()),
		Group:    f.uint64(),
	}
	setFlags(&r, f.uint8())
	return decision.ExistingConnection{Request: r, Server: f.uint32()}
}

func setFlags(r *decision.Request, flags uint8) {
	r.HasLoadHint = flags&flagLoadHint != 0
	r.Retry = flags&flagRetry != 0
	r.MidConnection = flags&flagMidConnection != 0
	r.Reconnected = flags&flagReconnected != 0
}

// decodeStatus reads how an attempt or a probe ended. The simulator's codes are modelled on HTTP status codes.
func decodeStatus(f *fields) (outcome.Status, error) {
	switch code := f.uint16(); code {
	case 200:
		return outcome.OK, nil
	case 410:
		return outcome.Inconclusive, nil
	case 499:
		return outcome.Cancelled, nil
	case 500:
		return outcome.ErrorResponse, nil
	case 502:
		return outcome.ConnectFailed, nil
	case 503:
		return outcome.ServerFull, nil
	case 504:
		return outcome.TimedOut, nil
	case 598:
		return outcome.Reset, nil
	default:
		return 0, fmt.Errorf("%w: unknown outcome code %d", ErrMalformedRecord, code)
	}
}

// decodeLoadReport reads a server's load report: a count, then a fixed number of values, of which the first count are
// valid.
func decodeLoadReport(f *fields) (decision.LoadReport, error) {
	report := decision.LoadReport{Count: int(f.uint8())}
	if report.Count > len(report.Values) {
		return report, fmt.Errorf("%w: load report has %d values, more than %d",
			ErrMalformedRecord, report.Count, len(report.Values))
	}
	for i := range report.Values {
		value := f.float32()
		if i < report.Count {
			report.Values[i] = value
		}
	}
	return report, nil
}
