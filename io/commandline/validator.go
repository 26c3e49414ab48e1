package commandline

import (
	"errors"
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"redwingsill/core/kind"
	"redwingsill/core/problem"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9.-]{0,62}$`)

// validator collects all problems of a command's settings.
type validator struct {
	problems []problem.Problem
}

// require adds a problem with a setting unless ok is true. The parameter allowed describes the valid values in words.
func (v *validator) require(ok bool, setting, value, allowed string) {
	if !ok {
		v.problems = append(v.problems, problem.New(setting, value, allowed))
	}
}

func (v *validator) requireName(setting, value string) {
	v.require(namePattern.MatchString(value), setting, value, "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter")
}

func (v *validator) requireAddress(setting, value string) {
	_, err := netip.ParseAddrPort(value)
	v.require(err == nil, setting, value, "an IP address and port, such as 127.0.0.1:9000")
}

func (v *validator) requireURL(setting, value string) {
	u, err := url.Parse(value)
	v.require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", setting, value, "an http or https URL, such as http://127.0.0.1:9000")
}

// err returns an error that lists all problems, or nil if there are none.
func (v *validator) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	lines := []string{"invalid settings:"}
	for _, p := range v.problems {
		lines = append(lines, "  "+p.String())
	}
	return newError("check settings", kind.Invalid, errors.New(strings.Join(lines, "\n")))
}
