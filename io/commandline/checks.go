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

// checks collects everything that is wrong with a command's settings.
type validator struct {
	problems []problem.Problem
}

func (c *validator) require(ok bool, setting, given, allowed string) {
	if !ok {
		c.problems = append(c.problems, problem.New(setting, given, allowed))
	}
}

func (c *validator) name(setting, given string) {
	c.require(namePattern.MatchString(given), setting, given, "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter")
}

func (c *validator) address(setting, given string) {
	_, err := netip.ParseAddrPort(given)
	c.require(err == nil, setting, given, "an IP number and port, as 127.0.0.1:9000")
}

func (c *validator) url(setting, given string) {
	u, err := url.Parse(given)
	c.require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", setting, given, "a URL, as http://127.0.0.1:9000")
}

// err returns nil, or an error that lists every problem.
func (c *validator) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	lines := []string{"wrong settings:"}
	for _, p := range c.problems {
		lines = append(lines, "  "+p.String())
	}
	return newError("check settings", kind.Invalid, errors.New(strings.Join(lines, "\n")))
}
