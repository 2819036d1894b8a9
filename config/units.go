package config

import (
	"errors"
	"fmt"
	"math"
	"path"
	"strconv"
	"strings"
	"time"
)

const (
	// maxDuration catches typing errors such as hours in place of seconds.
	maxDuration = 30 * 24 * time.Hour
	// maxRate is in requests a second. It is far above the design target of 21,000 over all workspaces.
	maxRate = 1e6
)

var rateUnits = map[string]time.Duration{"s": time.Second, "min": time.Minute, "h": time.Hour}

// parseRate converts a rate such as "40/s", "90/min" or "10/h" to events a second.
func parseRate(text string) (float64, error) {
	number, unit, found := strings.Cut(text, "/")
	per, known := rateUnits[strings.TrimSpace(unit)]
	if !found || !known {
		return 0, fmt.Errorf("%q is not a rate", text)
	}
	n, err := parseNumber(strings.TrimSpace(number))
	if err != nil {
		return 0, err
	}
	perSecond := n / per.Seconds()
	if perSecond <= 0 || perSecond > maxRate {
		return 0, fmt.Errorf("%q is outside 0 to %.0f a second", text, maxRate)
	}
	return perSecond, nil
}

// parsePercent converts a percentage such as "5%" to a fraction such as 0.05.
func parsePercent(text string) (float64, error) {
	number, found := strings.CutSuffix(text, "%")
	if !found {
		return 0, fmt.Errorf("%q is not a percentage", text)
	}
	n, err := parseNumber(strings.TrimSpace(number))
	if err != nil {
		return 0, err
	}
	if n <= 0 || n > 100 {
		return 0, fmt.Errorf("%q is outside 0%% to 100%%", text)
	}
	return n / 100, nil
}

func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration", text)
	}
	if d <= 0 || d > maxDuration {
		return 0, fmt.Errorf("%q is outside 0 to %s", text, maxDuration)
	}
	return d, nil
}

func parseTime(text string) (time.Time, error) {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is not a time with a zone", text)
	}
	return t.UTC(), nil
}

func parseNumber(text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return 0, fmt.Errorf("%q is not a number", text)
	}
	return n, nil
}

func parsePositive(text string) (float64, error) {
	n, err := parseNumber(text)
	if err == nil && n <= 0 {
		err = fmt.Errorf("%q is not above 0", text)
	}
	return n, err
}

func parseBool(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, fmt.Errorf("%q is neither true nor false", text)
	}
}

// parseName accepts letters, digits, '.', '_' and '-', starting with a letter or digit. Names are used in keys of the
// object API.
func parseName(text string) (string, error) {
	if text == "" || len(text) > maxNameBytes {
		return "", fmt.Errorf("%q is not 1 to %d characters long", text, maxNameBytes)
	}
	for i, c := range []byte(text) {
		alnum := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alnum && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return "", fmt.Errorf("%q is not a name", text)
		}
	}
	return text, nil
}

func parsePath(text string) (string, error) {
	if !strings.HasPrefix(text, "/") {
		return "", fmt.Errorf("path %q does not start with /", text)
	}
	if strings.ContainsAny(text, "?# \t\r\n") || path.Clean(text) != strings.TrimRight(text, "/") && text != "/" {
		return "", fmt.Errorf("path %q is not a plain URL path", text)
	}
	if rest, found := strings.CutPrefix(text, "/services/"); found {
		service, _, _ := strings.Cut(rest, "/")
		return "", fmt.Errorf("path %q refers to service %q, but a path is below its own service", text, service)
	}
	return text, nil
}

var priorities = map[string]Priority{"low": PriorityLow, "normal": PriorityNormal, "high": PriorityHigh}

func parsePriority(text string) (Priority, error) {
	p, ok := priorities[text]
	if !ok {
		return 0, fmt.Errorf("%q is not a priority", text)
	}
	return p, nil
}

func parseKind(text string) (ServiceKind, error) {
	k := ServiceKind(text)
	if k != KindModel && k != KindPlain {
		return "", fmt.Errorf("%q is not a kind of service", text)
	}
	return k, nil
}

func parseConcurrency(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", text)
	}
	if n < 1 || n > maxConcurrency {
		return 0, fmt.Errorf("%d is outside 1 to %d", n, maxConcurrency)
	}
	return n, nil
}

var methods = map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func parseMethod(text string) (string, error) {
	if !methods[text] {
		return "", errors.New(strconv.Quote(text) + " is not an HTTP method")
	}
	return text, nil
}
