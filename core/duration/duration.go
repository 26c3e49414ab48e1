// Package duration defines a duration that is encoded as text such as "1.5s".
package duration

import "time"

// Duration is a [time.Duration] whose JSON and YAML form is the text of [time.Duration.String].
type Duration time.Duration

// Of returns d as a Duration.
func Of(d time.Duration) Duration { return Duration(d) }

// Std returns d as a [time.Duration].
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns text such as "1.5s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements [encoding.TextMarshaler].
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
